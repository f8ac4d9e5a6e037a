#pragma once

#include "wire/frame.h"
#include "wire/hello_frame.h"

#include <string>

namespace bronzechute {

/** One live connection to another process of the system. Safe to use from any thread. */
class link
{
public:
    virtual ~link() = default;

    /** @returns who is at the other end, as its hello frame said. */
    virtual const hello_frame &peer() const = 0;

    /** @returns the remote address. */
    virtual const std::string &address() const = 0;

    /**
     * Queues the frame; frames arrive in the order of the calls or the connection goes down.
     * @returns false when the connection is down; the frame was not sent then
     */
    virtual bool send(const frame &message) = 0;

    /**
     * Like send() for a frame that is not urgent: it may wait up to about 100 ms to share a write with the next one.
     * Each write costs several wake-ups at both ends.
     */
    virtual bool sendSoon(const frame &message)
    {
        return send(message);
    }

    /** Closes the connection; link_handler::onDown follows. */
    virtual void close(const std::string &reason) = 0;

    /** @returns an estimate of the peer's boot_clock in milliseconds that is never ahead of it. */
    virtual std::int64_t peerClockMs() const = 0;
};

} // namespace bronzechute
