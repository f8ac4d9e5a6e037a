#pragma once

#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "link/link.h"
#include "link/link_handler.h"
#include "link/link_options.h"
#include "wire/frame_codec.h"

#include <nng/nng.h>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * A link over an nng byte stream. Frames that are queued while a write is in progress are sent together in the next
 * write.
 *
 * An nng asynchronous operation must not be freed from its own callback. The owner therefore calls release() from one
 * of its own threads once the connection is down.
 */
class nng_link final : public link, public std::enable_shared_from_this<nng_link>
{
public:
    /**
     * Takes ownership of the stream.
     * @param onClosed called once, from any thread, when the connection goes down; must not call back into the link
     */
    nng_link(nng_stream *stream, std::string address, const link_options &options, link_handler &handler,
             std::function<void()> onClosed);
    ~nng_link() override;
    nng_link(const nng_link &) = delete;
    nng_link &operator=(const nng_link &) = delete;

    /** Sends the hello frame and starts reading. */
    void start();

    const hello_frame &peer() const override
    {
        return m_peer;
    }

    const std::string &address() const override
    {
        return m_address;
    }

    bool send(const frame &message) override;
    bool sendDeferred(const frame &message) override;

    /** Writes the frames that were deferred by a send_batch or by sendDeferred(). */
    void flush();

    void close(const std::string &reason) override;
    std::int64_t peerClockMs() const override;

    /**
     * Sends a heartbeat if one is due, writes deferred frames, and closes the connection after the receive timeout.
     * @param heartbeatNow whether to send a heartbeat even if none is due
     */
    void maintain(time_point now, bool heartbeatNow);

    /** @returns whether the connection is closed. */
    bool isDown() const
    {
        return m_down.load();
    }

    /** Waits for running callbacks, reports onDown and frees the stream. Call only after isDown() returns true. */
    void release();

private:
    static void onSent(void *self);
    static void onReceived(void *self);
    bool enqueue(const frame &message, bool urgent);
    void startReceive();
    void startSendLocked();
    void handleSent();
    void handleReceived();
    bool handleFrame(frame message);
    void updatePeerClockOffset(std::int64_t clockMs);

    static constexpr std::size_t receiveBufferBytes = std::size_t {64} * 1024;

    const std::string m_address;
    const link_options m_options;
    link_handler &m_handler;
    const std::function<void()> m_onClosed;

    nng_stream *m_stream;
    nng_aio *m_sendAio = nullptr;
    nng_aio *m_receiveAio = nullptr;
    std::array<char, receiveBufferBytes> m_receiveBuffer {};
    frame_decoder m_decoder; ///< Accessed only by the receive callback.
    hello_frame m_peer; ///< Set before onUp and not changed afterwards.
    std::atomic<bool> m_up {false};
    std::atomic<bool> m_down {false};
    std::atomic<boot_clock::rep> m_lastReceived;
    std::atomic<std::int64_t> m_peerClockOffsetMs {0}; ///< The peer's clock minus the local clock; a lower bound.

    mutable ranked_mutex m_mutex {lock_rank::link};
    std::string m_pending; ///< Guarded by m_mutex.
    bool m_sending = false; ///< Guarded by m_mutex.
    std::string m_closeReason; ///< Guarded by m_mutex.
    std::string m_inFlight; ///< Bytes of the write in progress. Guarded by m_mutex.
    std::size_t m_inFlightOffset = 0; ///< Guarded by m_mutex.
    time_point m_lastHeartbeat; ///< Accessed only by maintain().
    std::uint64_t m_heartbeatSequence = 0; ///< Accessed only by maintain().
    bool m_released = false;
};

} // namespace bronzechute
