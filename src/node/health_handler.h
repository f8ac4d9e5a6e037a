#pragma once

#include "http/http_handler.h"
#include "observe/metrics.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

namespace bronzechute {

/** Serves /health, /ready and /metrics, which every process provides. */
class health_handler final : public http_handler
{
public:
    /** @param describe returns whether the process is ready for work, and the JSON that /health and /ready report */
    health_handler(const metrics_registry &metrics, std::function<std::pair<bool, nlohmann::json>()> describe);

    http_reply handle(const http_request &request) override;

    /** @returns the response, or std::nullopt if the path is none of these three. */
    std::optional<http_reply> tryHandle(const http_request &request);

private:
    const metrics_registry &m_metrics;
    const std::function<std::pair<bool, nlohmann::json>()> m_describe;
};

} // namespace bronzechute
