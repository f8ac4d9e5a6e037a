#pragma once

#include "base/result.h"
#include "http/header_list.h"
#include "http/http_cancellation.h"

#include <chrono>
#include <memory>
#include <string>

namespace bronzechute {

/** A short call to another HTTP server. */
struct http_call
{
    std::string method = "GET"; ///< Upper case.
    std::string url;
    header_list headers;
    std::string body; ///< Sent with methods other than GET.
    std::chrono::milliseconds timeout {1500}; ///< For the whole call, connecting included.
    std::chrono::milliseconds connectTimeout {500}; ///< For the connection alone.
    bool mayRepeat = false; ///< Whether the client may send the call again over a new connection.

    std::shared_ptr<http_cancellation> cancellation; ///< Ends the call early from another thread; null for none.

    friend bool operator==(const http_call &, const http_call &) = default;
};

/** The whole answer to a call, whatever its status. */
struct http_answer
{
    int status = 0;
    header_list headers;
    std::string body;

    friend bool operator==(const http_answer &, const http_answer &) = default;
};

/** Makes short calls to other HTTP servers. Calls block; safe to call from any thread. */
class http_client
{
public:
    virtual ~http_client() = default;

    /**
     * @returns the answer; errc::unavailable when no byte of the request was sent; errc::outcome_unknown when the
     *          request may have reached the server; errc::too_large when the answer exceeded the client's limit
     *          (the server has handled the request then)
     */
    virtual result<http_answer> perform(const http_call &call) = 0;
};

} // namespace bronzechute
