#include "link/nng_dialer.h"

#include <algorithm>

namespace bronzechute {

nng_dialer::nng_dialer(std::string name, std::string address, const link_options &options,
                       std::function<void()> onFinished)
    : m_name(std::move(name))
    , m_address(std::move(address))
    , m_options(options)
    , m_onFinished(std::move(onFinished))
    , m_reconnectDelay(options.minReconnectDelay)
{
    nng_aio_alloc(&m_aio, &nng_dialer::onDialed, this);
    nng_aio_set_timeout(m_aio, static_cast<nng_duration>(options.connectTimeout.count()));
    if (nng_stream_dialer_alloc(&m_dialer, ("tcp://" + m_address).c_str()) == 0) {
        // Nagle's algorithm would hold each small frame back until the delayed acknowledgement of the previous one.
        nng_stream_dialer_set_bool(m_dialer, NNG_OPT_TCP_NODELAY, true);
    }
}

nng_dialer::~nng_dialer()
{
    nng_aio_stop(m_aio);
    if (m_attemptStarted && m_attemptFinished && nng_aio_result(m_aio) == 0) {
        nng_stream_free(static_cast<nng_stream *>(nng_aio_get_output(m_aio, 0)));
    }
    if (m_dialer != nullptr) {
        nng_stream_dialer_close(m_dialer);
        nng_stream_dialer_free(m_dialer);
    }
    nng_aio_free(m_aio);
}

void nng_dialer::dialWhenDue(time_point now)
{
    if (m_attemptStarted || m_dialer == nullptr || now < m_nextAttempt) {
        return;
    }
    m_attemptStarted = true;
    m_attemptFinished = false;
    nng_stream_dialer_dial(m_dialer, m_aio);
}

nng_stream *nng_dialer::takeConnectedStream(time_point now, std::mt19937_64 &random)
{
    if (!m_attemptStarted || !m_attemptFinished) {
        return nullptr;
    }
    m_attemptStarted = false;
    if (nng_aio_result(m_aio) == 0) {
        m_nextAttempt = time_point::max();
        return static_cast<nng_stream *>(nng_aio_get_output(m_aio, 0));
    }
    // Jitter keeps processes that lost the same peer from reconnecting to it at the same time.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_nextAttempt = now + std::chrono::duration_cast<boot_clock::duration>(m_reconnectDelay * jitter(random));
    m_reconnectDelay = std::min(m_reconnectDelay * 2, m_options.maxReconnectDelay);
    return nullptr;
}

void nng_dialer::scheduleReconnect(time_point now)
{
    m_reconnectDelay = m_options.minReconnectDelay;
    m_nextAttempt = now + m_reconnectDelay;
}

void nng_dialer::onDialed(void *self)
{
    auto *dialer = static_cast<nng_dialer *>(self);
    dialer->m_attemptFinished = true;
    dialer->m_onFinished();
}

} // namespace bronzechute
