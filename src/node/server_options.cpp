#include "node/server_options.h"

namespace bronzechute {

result<http_server_options> makeServerOptions(const daemon_settings &settings, const socket_address &address)
{
    http_server_options options;
    options.address = address.host;
    options.port = address.port;
    options.bodyLimit = settings.bodyLimit;
    if (settings.listen.tlsCertificate.empty()) {
        return options;
    }
    auto certificate = readTextFile(settings.listen.tlsCertificate);
    if (!certificate) {
        return certificate.error();
    }
    auto key = readTextFile(settings.listen.tlsKey);
    if (!key) {
        return key.error();
    }
    options.tlsCertificate = certificate.value();
    options.tlsKey = key.value();
    return options;
}

} // namespace bronzechute
