#pragma once

#include "base/boot_clock.h"
#include "link/link_options.h"

#include <nng/nng.h>

#include <atomic>
#include <functional>
#include <random>
#include <string>

namespace bronzechute {

/**
 * Connects to one address, retrying with exponential backoff and jitter after each failure.
 *
 * Used by the maintenance thread of a link_hub; only the completion callback runs on an nng thread.
 */
class nng_dialer
{
public:
    nng_dialer(std::string name, std::string address, const link_options &options, std::function<void()> onFinished);
    ~nng_dialer();
    nng_dialer(const nng_dialer &) = delete;
    nng_dialer &operator=(const nng_dialer &) = delete;

    const std::string &name() const
    {
        return m_name;
    }

    const std::string &address() const
    {
        return m_address;
    }

    /** Starts a connection attempt if none is in progress and the backoff delay has passed. */
    void dialWhenDue(time_point now);

    /**
     * Handles the result of a finished attempt; a failed attempt schedules the next one.
     * @returns the connected stream, which the caller then owns, or null
     */
    nng_stream *takeConnectedStream(time_point now, std::mt19937_64 &random);

    /** Schedules a new attempt after the minimum delay. Call this when the established connection has closed. */
    void scheduleReconnect(time_point now);

private:
    static void onDialed(void *self);

    const std::string m_name;
    const std::string m_address;
    const link_options m_options;
    const std::function<void()> m_onFinished;
    nng_stream_dialer *m_dialer = nullptr;
    nng_aio *m_aio = nullptr;
    bool m_attemptStarted = false;
    std::atomic<bool> m_attemptFinished {false};
    std::chrono::milliseconds m_reconnectDelay;
    time_point m_nextAttempt;
};

} // namespace bronzechute
