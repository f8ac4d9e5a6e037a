#pragma once

#include "base/result.h"
#include "http/header_list.h"
#include "http/http_cancellation.h"

#include <chrono>
#include <memory>
#include <string>

namespace bronzechute {

/** A request to another HTTP server whose response is read completely. */
struct http_call
{
    std::string method = "GET"; ///< Upper case.
    std::string url;
    header_list headers;
    std::string body; ///< Sent with methods other than GET.
    std::chrono::milliseconds timeout {1500}; ///< For the whole call, including connection setup.
    std::chrono::milliseconds connectTimeout {500}; ///< For connection setup only.
    bool mayRepeat = false; ///< Whether the client may resend the request on a new connection.

    std::shared_ptr<http_cancellation> cancellation; ///< Cancels the call from another thread; may be null.

    friend bool operator==(const http_call &, const http_call &) = default;
};

/** The complete response to a call, with any status. */
struct http_answer
{
    int status = 0;
    header_list headers;
    std::string body;

    friend bool operator==(const http_answer &, const http_answer &) = default;
};

/** Sends requests to other HTTP servers. Calls block until the response is complete; thread-safe. */
class http_client
{
public:
    virtual ~http_client() = default;

    /**
     * @returns the response; errc::unavailable when no byte of the request was sent; errc::outcome_unknown when the
     *          request may have reached the server; errc::too_large when the response exceeded the client's size
     *          limit (the server has already handled the request then)
     */
    virtual result<http_answer> perform(const http_call &call) = 0;
};

} // namespace bronzechute
