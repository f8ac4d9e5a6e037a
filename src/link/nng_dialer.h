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
 * Dials one address again and again, with an exponential, jittered delay after each failure.
 *
 * Used from the maintenance thread of a link_hub; only the completion callback runs on a thread of nng.
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

    /** Starts an attempt when none is under way and the delay is over. */
    void dialWhenDue(time_point now);

    /**
     * Collects a finished attempt.
     * @returns the stream, which the caller owns, or null when there is none
     */
    nng_stream *takeStream(time_point now, std::mt19937_64 &random);

    /** The connection made last is down: dial again after the shortest delay. */
    void connectionLost(time_point now);

private:
    static void onDialed(void *self);

    const std::string m_name;
    const std::string m_address;
    const link_options m_options;
    const std::function<void()> m_onFinished;
    nng_stream_dialer *m_dialer = nullptr;
    nng_aio *m_aio = nullptr;
    bool m_dialing = false;
    std::atomic<bool> m_finished {false};
    std::chrono::milliseconds m_delay;
    time_point m_nextDial;
};

} // namespace bronzechute
