#pragma once

#include "base/result.h"
#include "http/http_client.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace bronzechute {

/**
 * Reads a long-running response incrementally on a dedicated connection.
 *
 * stop() may be called from any thread; the other functions from one thread only.
 */
class http_stream_reader
{
public:
    http_stream_reader();
    ~http_stream_reader();
    http_stream_reader(const http_stream_reader &) = delete;
    http_stream_reader &operator=(const http_stream_reader &) = delete;

    /**
     * Sends the request and blocks until the response ends. http_call::timeout is not applied.
     * @param idleTimeout maximum time without received data, including connection setup
     * @param onData receives each block of the body; returns false to stop the transfer
     * @returns success when the server ended the body; errc::timed_out after idleTimeout; errc::cancelled after
     *          stop() or when onData returned false; errc::unavailable for any other failure, including a
     *          status other than 200
     */
    result<void> run(const http_call &call, std::chrono::milliseconds idleTimeout,
                     const std::function<bool(std::string_view)> &onData);

    /** Cancels the current run() and every later one. */
    void stop();

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace bronzechute
