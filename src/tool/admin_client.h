#pragma once

#include "base/result.h"

#include <chrono>
#include <string>

namespace bronzechute {

/** Response of the administration API. */
struct admin_response
{
    int status = 0;
    std::string body;
    std::string warning; ///< Value of the header X-Bronzechute-Warning; empty when absent.
};

/** HTTP client of the administration API. */
class admin_client
{
public:
    /**
     * @param server "http://host:port"
     * @param key administration key sent as bearer token; when empty, none is sent
     * @param timeout maximum duration of one request
     */
    admin_client(std::string server, std::string key, std::chrono::seconds timeout);

    /**
     * Sends a request and waits for the response.
     * @param target path and query
     * @returns the response with any HTTP status; errc::unavailable when nothing was changed; errc::outcome_unknown
     * when a request other than GET was sent and no response was received
     */
    result<admin_response> send(const std::string &method, const std::string &target, const std::string &body = {});

private:
    result<admin_response> exchange(const std::string &method, const std::string &target, const std::string &body);

    std::string m_server;
    std::string m_key;
    std::chrono::seconds m_timeout;
    bool m_serverResponded = false; ///< Whether the server has responded to any request.
};

} // namespace bronzechute
