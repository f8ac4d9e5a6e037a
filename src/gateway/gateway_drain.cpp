#include "gateway/gateway_drain.h"

#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace bronzechute {

namespace {

// The platform's load balancer takes this long to notice that the process is no longer ready.
constexpr std::chrono::milliseconds deregistrationDelay {2500};
// Requests that arrive later are left to another gateway, unless their time is over before the process ends.
constexpr std::chrono::milliseconds takeAllPeriod {2800};
constexpr std::chrono::milliseconds pollInterval {20};
// The process must exit by itself before the drain timeout expires.
constexpr std::chrono::milliseconds shutdownMargin {800};
// The margin is at most this part of a short timeout.
constexpr int shutdownMarginDivisor = 8;
// The answers to the requests that are given up at the end are written within this time.
constexpr std::chrono::milliseconds lastAnswersTimeout {200};

} // namespace

gateway_drain::gateway_drain(boost::asio::io_context &loop, drained_service &service) : m_loop(loop), m_service(service)
{
}

template<typename Function>
auto gateway_drain::runInLoop(Function function)
{
    const auto task = std::make_shared<std::packaged_task<decltype(function())()>>(std::move(function));
    auto outcome = task->get_future();
    boost::asio::post(m_loop, [task] { (*task)(); });
    return outcome.get();
}

bool gateway_drain::run(std::chrono::milliseconds timeout)
{
    const time_point begin = boot_clock::now();
    const time_point stopAt = begin + timeout - std::min(shutdownMargin, timeout / shutdownMarginDivisor);
    m_begun = true;
    runInLoop([&] {
        m_takeAllUntil = std::min(begin + takeAllPeriod, stopAt);
        m_stopAt = stopAt;
        m_service.beginDrain();
    });
    awaitRequests(std::min(begin + deregistrationDelay, stopAt), stopAt);
    runInLoop([this] {
        m_takesRequests = false;
        m_service.stopTaking();
    });
    const std::size_t unfinished = awaitRequests(begin, stopAt);
    if (unfinished > 0) {
        runInLoop([this] { m_service.endRequests(); });
        awaitRequests(begin, stopAt + lastAnswersTimeout);
    }
    const auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - begin);
    logLine(log_level::info, "gateway", "callers are closed",
            {{"unfinished", unfinished}, {"after_ms", duration.count()}});
    return unfinished == 0;
}

bool gateway_drain::takes(const exchange_plan &plan, time_point now) const
{
    if (!m_takesRequests) {
        return false;
    }
    // How long a queue and an endpoint will take is not known, so that only the deadline counts.
    return !m_takeAllUntil || now <= *m_takeAllUntil || plan.deadline <= m_stopAt;
}

std::size_t gateway_drain::awaitRequests(time_point earliest, time_point latest)
{
    for (;;) {
        const std::size_t count = runInLoop([this] { return m_service.inProgress(); });
        const time_point now = boot_clock::now();
        if ((count == 0 && now >= earliest) || now >= latest) {
            return count;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace bronzechute
