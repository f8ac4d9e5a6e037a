#include "gateway/endpoint_table.h"

#include "gateway/endpoint_channel.h"
#include "observe/log.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Shares of the cold bound of one second: what may be sent at once, and what is added within the second.
constexpr double burstShare = 0.4;
constexpr double rateShare = 0.6;

} // namespace

endpoint_table::endpoint_table(std::string dataCentre) : m_dataCentre(std::move(dataCentre))
{
}

void endpoint_table::update(const endpoint_record &record)
{
    gateway_endpoint_ptr &known = m_endpoints[record.id];
    const bool sameStart = known != nullptr && known->record.startedAtMs == record.startedAtMs
        && known->record.address == record.address && known->record.service == record.service;
    if (sameStart) {
        if (known->record.leaving != record.leaving) {
            logLine(log_level::info, "gateway", record.leaving ? "endpoint leaves" : "endpoint serves again",
                    {{"endpoint", record.id}, {"service", record.service}});
        }
        known->record = record;
        return;
    }
    if (known != nullptr) {
        known->listed = false;
    }
    known = std::make_shared<gateway_endpoint>();
    known->record = record;
    logLine(log_level::info, "gateway", "endpoint listed",
            {{"endpoint", record.id},
             {"service", record.service},
             {"peer", record.address},
             {"data_centre", record.dataCentre},
             {"leaving", record.leaving},
             {"cold_ms", record.coldRemaining.count()}});
    rebuild();
}

void endpoint_table::remove(const std::string &id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    logLine(log_level::info, "gateway", "endpoint gone",
            {{"endpoint", id}, {"service", found->second->record.service}});
    found->second->listed = false;
    found->second->idleChannels.clear();
    m_endpoints.erase(found);
    rebuild();
}

void endpoint_table::setDataCentre(const std::string &name, bool inService)
{
    const bool changed = inService ? m_dataCentresOut.erase(name) > 0 : m_dataCentresOut.insert(name).second;
    if (changed) {
        logLine(log_level::info, "gateway", inService ? "data centre in service" : "data centre out of service",
                {{"data_centre", name}});
    }
}

void endpoint_table::applyColdRates(const routing_table &table, int gateways)
{
    for (const auto &[id, endpoint] : m_endpoints) {
        const routed_service *service = table.findService(endpoint->record.service);
        const double perSecond = service == nullptr ? 0.0 : service->coldRequestsPerSecond / gateways;
        endpoint->coldRate.configure(rateShare * perSecond, std::max(1.0, burstShare * perSecond));
    }
}

void endpoint_table::setPeersRunning(const std::map<std::string, int> &running)
{
    for (const auto &[id, endpoint] : m_endpoints) {
        const auto found = running.find(id);
        endpoint->peersRunning = found == running.end() ? 0 : found->second;
    }
}

const std::vector<gateway_endpoint_ptr> &endpoint_table::endpointsOf(const std::string &service) const
{
    static const std::vector<gateway_endpoint_ptr> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

endpoint_view endpoint_table::viewOf(const gateway_endpoint &endpoint, std::span<const std::string> tried,
                                     time_point now) const
{
    endpoint_view view;
    view.slots = endpoint.record.slots;
    view.running = endpoint.ownRunning + endpoint.peersRunning;
    view.usable = endpoint.listed && !endpoint.record.leaving && !m_dataCentresOut.contains(endpoint.record.dataCentre)
        && endpoint.coldRate.available(now) && std::ranges::find(tried, endpoint.record.id) == tried.end();
    view.suspect = now < endpoint.avoidUntil;
    view.local = endpoint.record.dataCentre == m_dataCentre;
    view.gapMs = endpoint.gapMs;
    return view;
}

bool endpoint_table::anyUsable(const std::string &service, time_point now) const
{
    return std::ranges::any_of(endpointsOf(service), [&](const gateway_endpoint_ptr &endpoint) {
        return endpoint->listed && !endpoint->record.leaving && !m_dataCentresOut.contains(endpoint->record.dataCentre)
            && now >= endpoint->avoidUntil;
    });
}

void endpoint_table::rebuild()
{
    m_byService.clear();
    for (const auto &[id, endpoint] : m_endpoints) {
        m_byService[endpoint->record.service].push_back(endpoint);
    }
}

} // namespace bronzechute
