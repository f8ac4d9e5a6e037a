#pragma once

#include "http/http_handler.h"
#include "observe/metrics.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

namespace bronzechute {

/** Answers /health, /ready and /metrics, which every process serves. */
class health_handler final : public http_handler
{
public:
    /** @param describe returns whether the process takes work, and what it is for people and scripts */
    health_handler(const metrics_registry &metrics, std::function<std::pair<bool, nlohmann::json>()> describe);

    http_reply handle(const http_request &request) override;

    /** @returns the answer, or nothing when the path is not one of the three. */
    std::optional<http_reply> tryHandle(const http_request &request);

private:
    const metrics_registry &m_metrics;
    const std::function<std::pair<bool, nlohmann::json>()> m_describe;
};

} // namespace bronzechute
