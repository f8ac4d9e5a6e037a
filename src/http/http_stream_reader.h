#pragma once

#include "base/result.h"
#include "http/http_client.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace bronzechute {

/**
 * Reads one long answer as it arrives, over a connection of its own.
 *
 * stop() may be called from any thread; everything else from one thread.
 */
class http_stream_reader
{
public:
    http_stream_reader();
    ~http_stream_reader();
    http_stream_reader(const http_stream_reader &) = delete;
    http_stream_reader &operator=(const http_stream_reader &) = delete;

    /**
     * Sends the call and blocks until the answer ends. The call's timeout is not applied.
     * @param silence longest time without a byte, connecting included
     * @param onData gets each block of the body; returns false to end the transfer
     * @returns success when the server ended the body; errc::timed_out after the silence; errc::cancelled after
     *          stop() or when onData returned false; errc::unavailable for anything else, a status other than 200
     *          included
     */
    result<void> run(const http_call &call, std::chrono::milliseconds silence,
                     const std::function<bool(std::string_view)> &onData);

    /** Ends the current run and every later one. */
    void stop();

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace bronzechute
