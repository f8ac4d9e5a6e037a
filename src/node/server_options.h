#pragma once

#include "base/result.h"
#include "http/http_server.h"
#include "settings/daemon_settings.h"

namespace bronzechute {

/**
 * @param address one of the addresses in the settings
 * @returns the options of a server at that address, with the certificate and key loaded if TLS is configured;
 *          errc::not_found if a file cannot be read
 */
result<http_server_options> makeServerOptions(const daemon_settings &settings, const socket_address &address);

} // namespace bronzechute
