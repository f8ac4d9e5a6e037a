#pragma once

#include "http/client_connection.h"
#include "http/header_list.h"

#include <memory>
#include <string>

namespace bronzechute {

/** A request received by the HTTP server, including its body. */
struct http_request
{
    std::string method; ///< Upper case.
    std::string path; ///< Without the query.
    std::string query; ///< Without the '?'; empty when there is none.
    header_list headers;
    std::string body;
    bool bodyTooLarge = false; ///< The body exceeded the server's size limit, and body is empty.
    std::string peer; ///< Address and port of the client.
    std::shared_ptr<const client_connection> connection; ///< May be null.

    friend bool operator==(const http_request &, const http_request &) = default;
};

} // namespace bronzechute
