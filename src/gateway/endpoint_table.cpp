#include "gateway/endpoint_table.h"

#include "gateway/endpoint_channel.h"
#include "observe/log.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Shares of the cold bound of one second: what may be sent at once, and what is added within the second.
constexpr double burstShare = 0.4;
constexpr double rateShare = 0.6;
// The coordinator repeats the states of groups at shorter intervals; without it, engines are tried again.
constexpr std::chrono::milliseconds closedLifetime {1500};

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
    m_groupOf.erase(id);
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
    view.usable = takesWork(endpoint, now) && endpoint.coldRate.available(now)
        && std::ranges::find(tried, endpoint.record.id) == tried.end();
    view.suspect = now < endpoint.avoidUntil;
    view.local = endpoint.record.dataCentre == m_dataCentre;
    view.gapMs = endpoint.gapMs;
    return view;
}

bool endpoint_table::anyUsable(const std::string &service, time_point now) const
{
    return std::ranges::any_of(endpointsOf(service), [&](const gateway_endpoint_ptr &endpoint) {
        return takesWork(*endpoint, now) && now >= endpoint->avoidUntil;
    });
}

bool endpoint_table::takesWork(const gateway_endpoint &endpoint, time_point now) const
{
    if (!endpoint.listed || endpoint.record.leaving || m_dataCentresOut.contains(endpoint.record.dataCentre)) {
        return false;
    }
    if (m_closedUntil.empty()) {
        return true;
    }
    const auto group = m_groupOf.find(endpoint.record.id);
    const auto closed = group == m_groupOf.end() ? m_closedUntil.end() : m_closedUntil.find(group->second);
    return closed == m_closedUntil.end() || now >= closed->second;
}

void endpoint_table::setGroups(const std::vector<group_state> &groups, time_point now)
{
    for (const group_state &group : groups) {
        for (const std::string &id : group.endpoints) {
            m_groupOf[id] = group.name;
        }
        const auto closed = m_closedUntil.find(group.name);
        const bool wasOpen = closed == m_closedUntil.end() || now >= closed->second;
        if (wasOpen != group.open) {
            logLine(log_level::info, "gateway", group.open ? "rank group takes work again" : "rank group takes no work",
                    {{"group", group.name}, {"endpoints", group.endpoints.size()}});
        }
        if (group.open) {
            m_closedUntil.erase(group.name);
        } else {
            m_closedUntil[group.name] = now + closedLifetime;
        }
    }
}

void endpoint_table::rebuild()
{
    m_byService.clear();
    for (const auto &[id, endpoint] : m_endpoints) {
        m_byService[endpoint->record.service].push_back(endpoint);
    }
}

} // namespace bronzechute
