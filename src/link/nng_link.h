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
 * A connection over an nng byte stream. Frames that are queued while a write is under way leave together with the
 * next write.
 *
 * nng must not free an asynchronous operation from within its own callback, so the owner calls release() from a thread
 * of its own once the connection is down.
 */
class nng_link final : public link, public std::enable_shared_from_this<nng_link>
{
public:
    /**
     * Takes over the stream.
     * @param onClosed called once, from any thread, when the connection goes down; must not call back into the link
     */
    nng_link(nng_stream *stream, std::string address, const link_options &options, link_handler &handler,
             std::function<void()> onClosed);
    ~nng_link() override;
    nng_link(const nng_link &) = delete;
    nng_link &operator=(const nng_link &) = delete;

    /** Sends the hello frame and begins to read. */
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
    bool sendSoon(const frame &message) override;

    /** Writes frames that wait for a send_batch or for the next urgent frame. */
    void flush();

    void close(const std::string &reason) override;
    std::int64_t peerClockMs() const override;

    /**
     * Sends a heartbeat when one is due and closes the connection when the peer has been silent for too long.
     * @param heartbeatNow send a heartbeat even when none is due
     */
    void maintain(time_point now, bool heartbeatNow);

    /** @returns whether the connection is closed. */
    bool isDown() const
    {
        return m_down.load();
    }

    /** Waits for callbacks under way, tells the handler and frees the stream. Only after isDown(). */
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
    void notePeerClock(std::int64_t clockMs);

    static constexpr std::size_t receiveBytes = std::size_t {64} * 1024;

    const std::string m_address;
    const link_options m_options;
    link_handler &m_handler;
    const std::function<void()> m_onClosed;

    nng_stream *m_stream;
    nng_aio *m_sendAio = nullptr;
    nng_aio *m_receiveAio = nullptr;
    std::array<char, receiveBytes> m_receiveBuffer {};
    frame_decoder m_decoder; ///< Used by the receive callback only.
    hello_frame m_peer; ///< Set before onUp, constant afterwards.
    std::atomic<bool> m_up {false};
    std::atomic<bool> m_down {false};
    std::atomic<boot_clock::rep> m_lastReceived;
    std::atomic<std::int64_t> m_peerClockOffsetMs {0}; ///< Peer's clock minus ours, never too large.

    mutable ranked_mutex m_mutex {lock_rank::link};
    std::string m_pending; ///< Guarded by m_mutex.
    bool m_sending = false; ///< Guarded by m_mutex.
    std::string m_closeReason; ///< Guarded by m_mutex.
    std::string m_inFlight; ///< Bytes of the write under way; guarded by m_mutex.
    std::size_t m_inFlightOffset = 0; ///< Guarded by m_mutex.
    time_point m_lastHeartbeat; ///< Used by maintain() only.
    std::uint64_t m_heartbeatSequence = 0; ///< Used by maintain() only.
    bool m_released = false;
};

} // namespace bronzechute
