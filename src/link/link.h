#pragma once

#include "wire/frame.h"
#include "wire/hello_frame.h"

#include <string>

namespace bronzechute {

/** An established connection to another process of the system. Thread-safe. */
class link
{
public:
    virtual ~link() = default;

    /** @returns the hello frame that the peer sent. */
    virtual const hello_frame &peer() const = 0;

    /** @returns the remote address. */
    virtual const std::string &address() const = 0;

    /**
     * Queues the frame. Frames arrive in the order of the calls, or the connection is closed.
     * @returns false when the connection is down; the frame was not sent then
     */
    virtual bool send(const frame &message) = 0;

    /**
     * Like send(), for a frame that is not urgent. It may be delayed by up to about 100 ms so that it shares a write
     * with the next frame, because each write causes several thread wake-ups at both ends.
     */
    virtual bool sendDeferred(const frame &message)
    {
        return send(message);
    }

    /** Closes the connection. If link_handler::onUp was called for it, link_handler::onDown is called afterwards. */
    virtual void close(const std::string &reason) = 0;

    /** @returns an estimate of the peer's boot_clock in milliseconds. It is never ahead of that clock. */
    virtual std::int64_t peerClockMs() const = 0;
};

} // namespace bronzechute
