#include "link/nng_link.h"

#include "link/send_batch.h"

#include <algorithm>
#include <mutex>

namespace bronzechute {

namespace {

constexpr std::size_t maxRetainedBufferBytes = std::size_t {1024} * 1024;

/** A send_batch does not defer frames beyond this size, because they are already enough for one write. */
constexpr std::size_t maxBatchedBytes = std::size_t {64} * 1024;

} // namespace

nng_link::nng_link(nng_stream *stream, std::string address, const link_options &options, link_handler &handler,
                   std::function<void()> onClosed)
    : m_address(std::move(address))
    , m_options(options)
    , m_handler(handler)
    , m_onClosed(std::move(onClosed))
    , m_stream(stream)
    , m_lastReceived(boot_clock::now().time_since_epoch().count())
    , m_lastHeartbeat(boot_clock::now())
{
    nng_aio_alloc(&m_sendAio, &nng_link::onSent, this);
    nng_aio_alloc(&m_receiveAio, &nng_link::onReceived, this);
}

nng_link::~nng_link()
{
    if (!m_released) {
        nng_stream_close(m_stream);
        nng_aio_stop(m_sendAio);
        nng_aio_stop(m_receiveAio);
        nng_stream_free(m_stream);
        nng_aio_free(m_sendAio);
        nng_aio_free(m_receiveAio);
    }
}

void nng_link::start()
{
    hello_frame hello = m_options.self;
    const heartbeat_frame current = m_handler.makeHeartbeat();
    hello.revision = current.revision;
    hello.clockMs = clockMilliseconds(boot_clock::now());
    send(hello);
    startReceive();
}

bool nng_link::send(const frame &message)
{
    return enqueue(message, true);
}

bool nng_link::sendDeferred(const frame &message)
{
    return enqueue(message, false);
}

bool nng_link::enqueue(const frame &message, bool urgent)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_down) {
            return false;
        }
        encodeFrame(message, m_pending);
        if (m_pending.size() <= m_options.maxQueuedBytes) {
            if (urgent && !m_sending) {
                send_batch *batch = send_batch::current();
                if (batch != nullptr && m_pending.size() < maxBatchedBytes) {
                    batch->add(shared_from_this());
                } else {
                    startSendLocked();
                }
            }
            return true;
        }
    }
    close("send queue exceeds its limit");
    return false;
}

void nng_link::flush()
{
    const std::scoped_lock lock(m_mutex);
    if (!m_down && !m_sending && !m_pending.empty()) {
        startSendLocked();
    }
}

void nng_link::startSendLocked()
{
    if (m_inFlight.empty()) {
        m_inFlight.swap(m_pending);
        m_inFlightOffset = 0;
    }
    m_sending = true;
    nng_iov vector {m_inFlight.data() + m_inFlightOffset, m_inFlight.size() - m_inFlightOffset};
    nng_aio_set_iov(m_sendAio, 1, &vector);
    // The completion callback always runs on an nng thread, so m_mutex may be held here. While it is held,
    // close() cannot mark the connection as down, so release() cannot run.
    nng_stream_send(m_stream, m_sendAio);
}

void nng_link::onSent(void *self)
{
    static_cast<nng_link *>(self)->handleSent();
}

void nng_link::handleSent()
{
    if (nng_aio_result(m_sendAio) != 0) {
        close("write failed: " + std::string(nng_strerror(nng_aio_result(m_sendAio))));
        return;
    }
    const std::scoped_lock lock(m_mutex);
    m_inFlightOffset += nng_aio_count(m_sendAio);
    if (m_inFlightOffset >= m_inFlight.size()) {
        m_inFlight.clear();
        if (m_inFlight.capacity() > maxRetainedBufferBytes) {
            m_inFlight.shrink_to_fit();
        }
    }
    m_sending = false;
    if (!m_down && !(m_inFlight.empty() && m_pending.empty())) {
        startSendLocked();
    }
}

void nng_link::startReceive()
{
    nng_iov vector {m_receiveBuffer.data(), m_receiveBuffer.size()};
    nng_aio_set_iov(m_receiveAio, 1, &vector);
    nng_stream_recv(m_stream, m_receiveAio);
}

void nng_link::onReceived(void *self)
{
    static_cast<nng_link *>(self)->handleReceived();
}

void nng_link::handleReceived()
{
    if (nng_aio_result(m_receiveAio) != 0) {
        close("read failed: " + std::string(nng_strerror(nng_aio_result(m_receiveAio))));
        return;
    }
    m_lastReceived = boot_clock::now().time_since_epoch().count();
    auto frames = m_decoder.feed({m_receiveBuffer.data(), nng_aio_count(m_receiveAio)});
    if (!frames) {
        close(frames.error().toString());
        return;
    }
    for (frame &message : frames.value()) {
        if (!handleFrame(std::move(message))) {
            return;
        }
    }
    startReceive();
}

bool nng_link::handleFrame(frame message)
{
    if (!m_up) {
        const auto *hello = std::get_if<hello_frame>(&message);
        if (hello == nullptr || hello->version != protocolVersion) {
            close("peer did not send a hello frame for protocol version " + std::to_string(protocolVersion));
            return false;
        }
        m_peer = *hello;
        updatePeerClockOffset(hello->clockMs);
        m_up = true;
        m_handler.onUp(shared_from_this());
        return true;
    }
    if (const auto *heartbeat = std::get_if<heartbeat_frame>(&message)) {
        updatePeerClockOffset(heartbeat->clockMs);
    }
    m_handler.onFrame(shared_from_this(), std::move(message));
    return true;
}

void nng_link::updatePeerClockOffset(std::int64_t clockMs)
{
    // The peer set the timestamp before it sent the frame, so its clock is now at or past that timestamp.
    m_peerClockOffsetMs = clockMs - clockMilliseconds(boot_clock::now());
}

std::int64_t nng_link::peerClockMs() const
{
    return clockMilliseconds(boot_clock::now()) + m_peerClockOffsetMs;
}

void nng_link::close(const std::string &reason)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (m_down) {
            return;
        }
        m_closeReason = reason;
        m_down = true;
    }
    nng_stream_close(m_stream);
    m_onClosed();
}

void nng_link::maintain(time_point now, bool heartbeatNow)
{
    if (m_down) {
        return;
    }
    const auto lastReceived = time_point(boot_clock::duration(m_lastReceived.load()));
    if (now - lastReceived > m_options.receiveTimeout) {
        close("no frame for " + std::to_string(m_options.receiveTimeout.count()) + " ms");
        return;
    }
    if (m_up && (heartbeatNow || now - m_lastHeartbeat >= m_options.heartbeatInterval)) {
        m_lastHeartbeat = now;
        heartbeat_frame heartbeat = m_handler.makeHeartbeat();
        heartbeat.sequence = ++m_heartbeatSequence;
        heartbeat.clockMs = clockMilliseconds(now);
        send(heartbeat);
    }
    flush();
}

void nng_link::release()
{
    if (m_released) {
        return;
    }
    m_released = true;
    nng_aio_stop(m_sendAio);
    nng_aio_stop(m_receiveAio);
    if (m_up) {
        std::string reason;
        {
            const std::scoped_lock lock(m_mutex);
            reason = m_closeReason;
        }
        m_handler.onDown(shared_from_this(), reason);
    }
    nng_stream_free(m_stream);
    nng_aio_free(m_sendAio);
    nng_aio_free(m_receiveAio);
}

} // namespace bronzechute
