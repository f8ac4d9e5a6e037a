#include "gateway/crash_detector.h"

#include "base/socket_address.h"
#include "observe/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <memory>

namespace bronzechute {

namespace asio = boost::asio;

namespace {

// A request that was given up may still crash the endpoint until the cancellation has reached it.
constexpr std::chrono::milliseconds suspectWindow {1000};
// A crash that nothing refused is seen when the endpoint is listed again.
constexpr std::chrono::seconds restartTimeout {15};
constexpr std::size_t maxUnanswered = 1024;
constexpr std::chrono::milliseconds probeTimeout {300};

/** One attempt to connect, which tells whether anything listens. */
struct connection_probe
{
    explicit connection_probe(asio::io_context &loop) : socket(loop), timer(loop)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};

} // namespace

crash_detector::crash_detector(asio::io_context &loop, listener onCrash) : m_loop(loop), m_onCrash(std::move(onCrash))
{
}

void crash_detector::onUnanswered(const gateway_endpoint &endpoint, crash_suspect suspect, attempt_end end)
{
    if (suspect.parts.empty()) {
        return;
    }
    const time_point now = boot_clock::now();
    expire(now);
    m_unanswered.push_back({runOf(endpoint.record), std::move(suspect), end, now});
    if (end == attempt_end::by_endpoint) {
        probe(endpoint);
    }
}

void crash_detector::probe(const gateway_endpoint &endpoint)
{
    const endpoint_run run = runOf(endpoint.record);
    const auto address = parseSocketAddress(endpoint.record.address);
    if (!address || !m_probing.insert(run).second) {
        return;
    }
    const auto probing = std::make_shared<connection_probe>(m_loop);
    probing->timer.expires_after(probeTimeout);
    probing->timer.async_wait([probing](const boost::system::error_code &code) {
        boost::system::error_code ignored; // Closing is best effort.
        if (!code) {
            probing->socket.close(ignored);
        }
    });
    boost::system::error_code invalid; // The address was validated when the endpoint was listed.
    const asio::ip::tcp::endpoint peer(asio::ip::make_address_v4(address->host, invalid), address->port);
    probing->socket.async_connect(peer, [this, probing, run](const boost::system::error_code &code) {
        probing->timer.cancel();
        m_probing.erase(run);
        if (code == asio::error::connection_refused) {
            onRefusedConnection(run);
        }
    });
}

std::optional<time_point> crash_detector::lastLoss(const endpoint_run &run) const
{
    std::optional<time_point> last;
    for (const unanswered_attempt &attempt : m_unanswered) {
        if (attempt.run == run && attempt.end != attempt_end::abandoned) {
            last = attempt.at;
        }
    }
    return last;
}

void crash_detector::onRefusedConnection(const endpoint_run &run)
{
    confirm(run, lastLoss(run).value_or(boot_clock::now()));
}

void crash_detector::onRestart(const endpoint_run &ended)
{
    if (const auto lostAt = lastLoss(ended)) {
        confirm(ended, *lostAt);
    }
}

void crash_detector::onReported(const endpoint_crash &crash)
{
    confirm(crash.run, crash.at);
}

void crash_detector::confirm(const endpoint_run &run, time_point at)
{
    expire(boot_clock::now());
    endpoint_crash crash {run, at, {}};
    for (auto attempt = m_unanswered.begin(); attempt != m_unanswered.end();) {
        const bool isSuspect =
            attempt->run == run && attempt->at >= at - suspectWindow && attempt->at <= at + suspectWindow;
        if (!isSuspect) {
            ++attempt;
            continue;
        }
        crash.suspects.push_back(std::move(attempt->suspect));
        attempt = m_unanswered.erase(attempt);
    }
    if (crash.suspects.empty()) {
        return;
    }
    logLine(log_level::info, "gateway", "endpoint crashed under requests",
            {{"endpoint", run.endpoint},
             {"started_at_ms", run.startedAtMs},
             {"suspects", crash.suspects.size()},
             {"begun", std::ranges::count_if(crash.suspects, &crash_suspect::begun)},
             {"writing", std::ranges::count_if(crash.suspects, &crash_suspect::writing)}});
    m_onCrash(crash);
}

void crash_detector::expire(time_point now)
{
    while (!m_unanswered.empty()
           && (m_unanswered.size() >= maxUnanswered || now - m_unanswered.front().at > restartTimeout)) {
        m_unanswered.pop_front();
    }
}

} // namespace bronzechute
