#pragma once

#include "base/result.h"

#include <chrono>
#include <string>

namespace bronzechute {

/** An answer of the administration API. */
struct admin_response
{
    int status = 0;
    std::string body;
    std::string warning; ///< Header X-Bronzechute-Warning.
};

/** HTTP client of the administration API. */
class admin_client
{
public:
    /**
     * @param server "http://host:port"
     * @param key administration key; empty: none
     */
    admin_client(std::string server, std::string key, std::chrono::seconds timeout);

    /**
     * @param target path and query
     * @returns errc::unavailable when nothing was changed; errc::outcome_unknown when a request other than GET was sent
     *          and no answer came
     */
    result<admin_response> send(const std::string &method, const std::string &target, const std::string &body = {});

private:
    result<admin_response> exchange(const std::string &method, const std::string &target, const std::string &body);

    std::string m_server;
    std::string m_key;
    std::chrono::seconds m_timeout;
    bool m_reached = false; ///< Whether the server has answered once.
};

} // namespace bronzechute
