#include "link/nng_dialer.h"

#include <algorithm>

namespace bronzechute {

nng_dialer::nng_dialer(std::string name, std::string address, const link_options &options,
                       std::function<void()> onFinished)
    : m_name(std::move(name))
    , m_address(std::move(address))
    , m_options(options)
    , m_onFinished(std::move(onFinished))
    , m_delay(options.minRedialDelay)
{
    nng_aio_alloc(&m_aio, &nng_dialer::onDialed, this);
    nng_aio_set_timeout(m_aio, static_cast<nng_duration>(options.connectTimeout.count()));
    if (nng_stream_dialer_alloc(&m_dialer, ("tcp://" + m_address).c_str()) == 0) {
        // Frames are small; with Nagle's algorithm each one would wait for the delayed acknowledgement of the last.
        nng_stream_dialer_set_bool(m_dialer, NNG_OPT_TCP_NODELAY, true);
    }
}

nng_dialer::~nng_dialer()
{
    nng_aio_stop(m_aio);
    if (m_dialing && m_finished && nng_aio_result(m_aio) == 0) {
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
    if (m_dialing || m_dialer == nullptr || now < m_nextDial) {
        return;
    }
    m_dialing = true;
    m_finished = false;
    nng_stream_dialer_dial(m_dialer, m_aio);
}

nng_stream *nng_dialer::takeStream(time_point now, std::mt19937_64 &random)
{
    if (!m_dialing || !m_finished) {
        return nullptr;
    }
    m_dialing = false;
    if (nng_aio_result(m_aio) == 0) {
        m_nextDial = time_point::max();
        return static_cast<nng_stream *>(nng_aio_get_output(m_aio, 0));
    }
    // Jitter keeps the processes that lost the same peer from dialing it at the same moment.
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    m_nextDial = now + std::chrono::duration_cast<boot_clock::duration>(m_delay * jitter(random));
    m_delay = std::min(m_delay * 2, m_options.maxRedialDelay);
    return nullptr;
}

void nng_dialer::connectionLost(time_point now)
{
    m_delay = m_options.minRedialDelay;
    m_nextDial = now + m_delay;
}

void nng_dialer::onDialed(void *self)
{
    auto *dialer = static_cast<nng_dialer *>(self);
    dialer->m_finished = true;
    dialer->m_onFinished();
}

} // namespace bronzechute
