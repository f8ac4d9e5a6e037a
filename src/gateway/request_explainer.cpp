#include "gateway/request_explainer.h"

#include "balance/placement.h"
#include "balance/retry_delay.h"
#include "gateway/plan_demands.h"
#include "http/http_status.h"

#include <algorithm>

namespace bronzechute {

namespace {

std::chrono::milliseconds inMilliseconds(boot_clock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/** Sets how likely the request is sent to each endpoint. */
void setProbabilities(std::vector<endpoint_explanation> &endpoints, std::span<const endpoint_view> views,
                      double concurrent)
{
    const std::vector<double> shares = placementShares(views, 0, concurrent);
    double total = 0;
    for (const double share : shares) {
        total += share;
    }
    if (total > 0) {
        for (std::size_t index = 0; index < endpoints.size(); ++index) {
            endpoints[index].probability = shares[index] / total;
        }
        return;
    }
    // Without requests of other gateways in between, the cheapest one is taken, or one of several.
    std::vector<endpoint_explanation *> cheapest;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        if (endpoints[index].obstacle) {
            continue;
        }
        const double cost = endpoints[index].cost.total();
        if (cheapest.empty() || cost < cheapest.front()->cost.total()) {
            cheapest = {&endpoints[index]};
        } else if (cost == cheapest.front()->cost.total()) {
            cheapest.push_back(&endpoints[index]);
        }
    }
    for (endpoint_explanation *each : cheapest) {
        each->probability = 1.0 / static_cast<double>(cheapest.size());
    }
}

} // namespace

std::vector<endpoint_explanation> request_explainer::endpointsFor(const exchange_plan &plan,
                                                                  const std::optional<stream_demand> &demand,
                                                                  time_point now) const
{
    const auto &endpoints = m_context.endpoints.endpointsOf(plan.service);
    std::vector<endpoint_view> views = m_context.endpoints.lastViewsOf(plan.service, {}, now);
    const std::vector<placement_cost> costs = placementCosts(views);
    std::vector<endpoint_explanation> explained;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const gateway_endpoint &endpoint = *endpoints[index];
        endpoint_explanation each;
        each.id = endpoint.record.id;
        each.dataCentre = endpoint.record.dataCentre;
        each.group = endpoint.group == nullptr ? std::string() : endpoint.group->name;
        each.slots = endpoint.record.slots;
        each.ownRunning = endpoint.ownRunning;
        each.peersRunning = endpoint.peersRunning;
        each.obstacle = m_context.endpoints.obstacleOf(endpoint, now);
        if (!each.obstacle && demand && !m_context.endpoints.completes(endpoint, *demand, now)) {
            each.obstacle = endpoint_obstacle::too_slow;
        }
        each.cost = costs[index];
        views[index].usable =
            views[index].usable && (!each.obstacle || *each.obstacle == endpoint_obstacle::no_free_slot);
        explained.push_back(std::move(each));
    }
    setProbabilities(explained, views, m_context.endpoints.concurrentPlacements(plan.service, now));
    return explained;
}

bool request_explainer::explainQuarantine(const exchange_plan &plan, request_explanation &explanation,
                                          time_point now) const
{
    const auto entry = m_context.guard.blocking(plan.promptParts);
    if (!entry) {
        return false;
    }
    explanation.decision = "refused";
    explanation.cause = "quarantined";
    explanation.status = statusServiceUnavailable;
    explanation.retryAfter =
        std::max<std::chrono::milliseconds>(inMilliseconds(entry->until - now), part_quarantine::trialInterval);
    return true;
}

void request_explainer::explainPlacement(const exchange_plan &plan, const std::optional<stream_demand> &demand,
                                         time_point arrivedAt, request_explanation &explanation, time_point now) const
{
    const bool outage = !m_context.endpoints.anyUsable(plan.service, now);
    const waiting_request request = waitingRequestOf(plan, arrivedAt, false, outage, now);
    const bool hasRoom =
        std::ranges::any_of(explanation.endpoints, [](const endpoint_explanation &each) { return !each.obstacle; });
    const placement_preview preview = m_context.dispatcher.preview(plan.service, request, demand, hasRoom, now);
    explanation.ahead = preview.ahead;
    explanation.expectedWait = inMilliseconds(preview.expectedWait);
    if (!preview.refused) {
        explanation.decision = preview.isQueued ? "queued" : "placed";
        return;
    }
    explanation.decision = "refused";
    explanation.cause = nameOf(*preview.refused);
    explanation.status = statusServiceUnavailable;
    const bool unavailable = *preview.refused == refusal::no_endpoint || *preview.refused == refusal::cannot_complete;
    // Of its own, so that the draws of the requests stay as they are.
    std::mt19937_64 random(std::random_device {}());
    explanation.retryAfter = retryDelay(unavailable ? refusal_cause::unavailable : refusal_cause::overloaded,
                                        preview.expectedWait, retryTimeLimit(plan, now), random);
}

request_explanation request_explainer::explain(const exchange_plan &plan, time_point arrivedAt, time_point now) const
{
    request_explanation explanation;
    explanation.route = plan.matched->name;
    explanation.account = plan.account;
    explanation.service = plan.service;
    explanation.priority = plan.priority;
    explanation.tokens = plan.tokens();
    explanation.timeLeft = inMilliseconds(plan.deadline - now);
    const std::optional<stream_demand> demand = streamDemandOf(plan, 0);
    explanation.endpoints = endpointsFor(plan, demand, now);
    if (m_context.redirect.active() && m_context.endpoints.isFailing(plan.service, now)) {
        explanation.decision = "refused";
        explanation.cause = "left_to_others";
        explanation.status = statusServiceUnavailable;
    } else if (!explainQuarantine(plan, explanation, now)) {
        explainPlacement(plan, demand, arrivedAt, explanation, now);
    }
    return explanation;
}

} // namespace bronzechute
