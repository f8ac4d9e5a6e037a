#include "node/health_handler.h"

namespace bronzechute {

health_handler::health_handler(const metrics_registry &metrics,
                               std::function<std::pair<bool, nlohmann::json>()> describe)
    : m_metrics(metrics), m_describe(std::move(describe))
{
}

http_reply health_handler::handle(const http_request &request)
{
    return tryHandle(request).value_or(http_reply {404, {}, "not found\n", nullptr});
}

std::optional<http_reply> health_handler::tryHandle(const http_request &request)
{
    if (request.path == "/health") {
        return http_reply {200, {{"Content-Type", "application/json"}}, m_describe().second.dump() + "\n", nullptr};
    }
    if (request.path == "/ready") {
        const auto [ready, description] = m_describe();
        return http_reply {
            ready ? 200 : 503, {{"Content-Type", "application/json"}}, description.dump() + "\n", nullptr};
    }
    if (request.path == "/metrics") {
        return http_reply {200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.render(), nullptr};
    }
    return std::nullopt;
}

} // namespace bronzechute
