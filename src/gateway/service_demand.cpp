#include "gateway/service_demand.h"

#include "observe/log.h"

#include <utility>
#include <vector>

namespace bronzechute {

namespace {

// After the failure of a group, the last known demand is assumed to hold for this long.
constexpr std::chrono::seconds demandLifetime {10};

} // namespace

service_demand::service_demand(std::string service, endpoint_table &endpoints, rank_engine_client &engines)
    : m_service(std::move(service)), m_endpoints(endpoints), m_engines(engines)
{
}

void service_demand::read(std::size_t layers, const std::function<bool(const std::string &)> &isRank, bool slowed,
                          time_point now)
{
    std::vector<std::string> ranks;
    for (const gateway_endpoint_ptr &endpoint : m_endpoints.endpointsOf(m_service)) {
        const endpoint_view view = m_endpoints.viewOf(*endpoint, {}, now);
        if (view.usable && !view.suspect && isRank(endpoint->record.id)) {
            ranks.push_back(endpoint->record.id);
        }
    }
    for (const std::string &id : m_sampler.due(ranks, slowed, now)) {
        const auto found = m_endpoints.all().find(id);
        if (found == m_endpoints.all().end()) {
            m_sampler.onFailure(id);
            continue;
        }
        m_engines.readCounts(found->second, layers, [weak = weak_from_this(), id](const result<rank_counts> &counts) {
            if (const auto demand = weak.lock()) {
                demand->onCounts(id, counts);
            }
        });
    }
}

void service_demand::onCounts(const std::string &id, const result<rank_counts> &counts)
{
    const time_point now = boot_clock::now();
    if (!counts) {
        m_sampler.onFailure(id);
        return;
    }
    if (m_sampler.record(id, counts.value(), now) == demand_tracker::change::shifted) {
        logLine(log_level::info, "coordinator", "expert demand shifted",
                {{"service", m_service}, {"endpoint", id}, {"step", counts.value().step}});
    }
    if (const load_matrix *known = m_sampler.demand(now)) {
        m_last = *known;
        m_lastAt = now;
    }
}

const load_matrix *service_demand::assumed(time_point now) const
{
    return m_last && now - m_lastAt < demandLifetime ? &*m_last : nullptr;
}

} // namespace bronzechute
