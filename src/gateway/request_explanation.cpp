#include "gateway/request_explanation.h"

namespace bronzechute {

namespace {

nlohmann::json textOrNull(const std::string &text)
{
    return text.empty() ? nlohmann::json() : nlohmann::json(text);
}

nlohmann::json toJson(const endpoint_explanation &endpoint)
{
    const placement_cost &cost = endpoint.cost;
    return {{"id", endpoint.id},
            {"data_centre", endpoint.dataCentre},
            {"group", textOrNull(endpoint.group)},
            {"slots", endpoint.slots},
            {"own_running", endpoint.ownRunning},
            {"peers_running", endpoint.peersRunning},
            {"obstacle", endpoint.obstacle ? nlohmann::json(nameOf(*endpoint.obstacle)) : nlohmann::json()},
            {"probability", endpoint.probability},
            {"cost",
             {{"total", cost.total()},
              {"utilization", cost.utilization},
              {"extra_work", cost.extraWork},
              {"slow_streams", cost.slowStreams},
              {"memory", cost.memory},
              {"suspect", cost.suspect},
              {"remote", cost.remote}}}};
}

} // namespace

nlohmann::json toJson(const request_explanation &explanation)
{
    nlohmann::json endpoints = nlohmann::json::array();
    for (const endpoint_explanation &endpoint : explanation.endpoints) {
        endpoints.push_back(toJson(endpoint));
    }
    return {
        {"route", textOrNull(explanation.route)},
        {"account", textOrNull(explanation.account)},
        {"service", textOrNull(explanation.service)},
        {"priority", explanation.priority},
        {"tokens", explanation.tokens},
        {"time_left_ms", explanation.timeLeft.count()},
        {"decision", explanation.decision},
        {"cause", textOrNull(explanation.cause)},
        {"status", explanation.status == 0 ? nlohmann::json() : nlohmann::json(explanation.status)},
        {"retry_after_ms", explanation.retryAfter ? nlohmann::json(explanation.retryAfter->count()) : nlohmann::json()},
        {"ahead", explanation.ahead},
        {"expected_wait_ms", explanation.expectedWait.count()},
        {"endpoints", std::move(endpoints)}};
}

} // namespace bronzechute
