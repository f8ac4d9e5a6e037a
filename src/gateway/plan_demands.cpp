#include "gateway/plan_demands.h"

#include "balance/start_deadlines.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Typical time from placement at an endpoint to the first event.
constexpr std::chrono::milliseconds typicalFirstEventTime {220};
// Callers wait at most a third of their remaining time before a retry.
constexpr int retryTimeDivisor = 3;

} // namespace

std::optional<stream_demand> streamDemandOf(const exchange_plan &plan, double eventsRelayed)
{
    const routed_service *service = plan.table->findService(plan.service);
    const std::optional<int> tokens = plan.expectedAnswerTokens();
    if (plan.matched->kind != request_kind::streaming || !tokens || service == nullptr || !service->engine) {
        return std::nullopt;
    }
    // An engine produces one event in each pass.
    const double events = static_cast<double>(*tokens) / std::max(1, service->engine->stepsPerPass);
    return stream_demand {std::max(0.0, events - eventsRelayed), plan.deadline};
}

waiting_request waitingRequestOf(const exchange_plan &plan, time_point arrivedAt, bool isRepeat, bool outage,
                                 time_point now)
{
    waiting_request waiting;
    waiting.priority = plan.priority;
    waiting.account = plan.account;
    waiting.arrivedAt = arrivedAt;
    waiting.returned = plan.isCallerRetry || isRepeat;
    waiting.cameBack = plan.isCallerRetry;
    waiting.repeated = isRepeat;
    const std::chrono::milliseconds target = plan.matched->latencyTarget;
    const bool isStream = plan.matched->kind == request_kind::streaming;
    const std::chrono::milliseconds usual = isStream ? typicalFirstEventTime : target / 2;
    const start_deadlines useful =
        startDeadlines({arrivedAt, target, usual, plan.deadline, plan.isCallerRetry, outage}, now);
    waiting.latestOnTimeStart = useful.latestOnTimeStart;
    waiting.expiresAt = useful.expiresAt;
    return waiting;
}

boot_clock::duration retryTimeLimit(const exchange_plan &plan, time_point now)
{
    return (plan.callerDeadline - now) / retryTimeDivisor;
}

} // namespace bronzechute
