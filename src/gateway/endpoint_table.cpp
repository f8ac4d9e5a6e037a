#include "gateway/endpoint_table.h"

#include "gateway/endpoint_connection.h"
#include "observe/log.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace bronzechute {

namespace {

// Split of the cold rate limit per second into a burst and a refill rate, so that no second exceeds the limit.
constexpr double coldBurstShare = 0.4;
constexpr double coldRateShare = 0.6;
// Exceeds the interval at which the coordinator repeats group states. Without a coordinator, engines are tried again.
constexpr std::chrono::milliseconds closedStateTimeout {1500};
// Exceeds the time without a coordinator during a usual outage of the store.
constexpr std::chrono::seconds avoidedStateTimeout {6};
// Within this time, a reachable coordinator learns of the failure by itself.
constexpr std::chrono::milliseconds refusalTimeout {400};
// A forward pass takes well under 200 ms. Without an event for longer than this, an engine of the group is missing.
constexpr std::chrono::milliseconds progressTimeout {500};
// Fewer requests or failures than this are no evidence of a stalled group or a failing service.
constexpr int minDetectionSamples = 3;
// A limit of a rank group is logged when it has changed by a request per engine, this often at most.
constexpr std::chrono::seconds limitLogInterval {2};

/** @returns the step-time model of an engine for requests of average length. */
pass_latency_model paceModelOf(const engine_profile &engine, std::chrono::milliseconds gapTarget)
{
    constexpr double thousand = 1000.0;
    const double context = (engine.meanPromptTokens + engine.meanAnswerTokens / 2) / thousand;
    double perRequest = engine.stepMsPerRequest + engine.stepMsPerThousandTokens * context;
    if (engine.promptTokensPerSecond > 0 && engine.meanAnswerTokens > 0) {
        // Each completed request is followed by one whose prefill runs between the decode steps of the others.
        perRequest += thousand * engine.meanPromptTokens / engine.promptTokensPerSecond / engine.meanAnswerTokens;
    }
    pass_latency_model model {engine.stepMs, perRequest, static_cast<double>(engine.slots), gapTarget};
    if (engine.meanAnswerTokens > 0) {
        model.passesPerRequest = std::max(1.0, engine.meanAnswerTokens / std::max(1, engine.stepsPerPass));
    }
    return model;
}

} // namespace

endpoint_table::endpoint_table(std::string dataCentre) : m_dataCentre(std::move(dataCentre))
{
}

std::vector<endpoint_run> endpoint_table::update(const endpoint_record &record)
{
    gateway_endpoint_ptr &known = m_endpoints[record.id];
    const bool sameStart = known != nullptr && known->record.startedAtMs == record.startedAtMs
        && known->record.address == record.address && known->record.service == record.service;
    if (sameStart) {
        if (known->record.leaving != record.leaving) {
            logLine(log_level::info, "gateway", record.leaving ? "endpoint is draining" : "endpoint is serving again",
                    {{"endpoint", record.id}, {"service", record.service}});
        }
        known->record = record;
        return {};
    }
    std::vector<endpoint_run> ended;
    if (known != nullptr) {
        known->listed = false;
        ended.push_back({known->record.id, known->record.startedAtMs});
    }
    known = std::make_shared<gateway_endpoint>();
    known->record = record;
    logLine(log_level::info, "gateway", "endpoint added",
            {{"endpoint", record.id},
             {"service", record.service},
             {"peer", record.address},
             {"data_centre", record.dataCentre},
             {"leaving", record.leaving},
             {"cold_ms", record.coldRemaining.count()}});
    for (endpoint_run &run : removePredecessors(record)) {
        ended.push_back(std::move(run));
    }
    rebuild();
    return ended;
}

void endpoint_table::remove(const std::string &id)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    logLine(log_level::info, "gateway", "endpoint removed",
            {{"endpoint", id}, {"service", found->second->record.service}});
    found->second->listed = false;
    found->second->idleConnections.clear();
    m_endpoints.erase(found);
    rebuild();
}

bool endpoint_table::isNamed(const std::string &service) const
{
    return !m_services || m_services->contains(service);
}

std::vector<endpoint_run> endpoint_table::removePredecessors(const endpoint_record &record)
{
    std::vector<endpoint_run> gone;
    if (!isNamed(record.service)) {
        return gone; // Other writers may leave entries with the address of a live endpoint.
    }
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool sameAddress = id != record.id && endpoint->record.address == record.address;
        if (sameAddress && endpoint->record.startedAtMs < record.startedAtMs) {
            gone.push_back({id, endpoint->record.startedAtMs});
        }
    }
    for (const endpoint_run &run : gone) {
        remove(run.endpoint);
    }
    return gone;
}

void endpoint_table::setDataCentre(const std::string &name, bool inService)
{
    const bool changed =
        inService ? m_dataCentresOutOfService.erase(name) > 0 : m_dataCentresOutOfService.insert(name).second;
    if (changed) {
        logLine(log_level::info, "gateway", inService ? "data centre in service" : "data centre out of service",
                {{"data_centre", name}});
    }
}

void endpoint_table::applyRouting(const routing_table &table, int gateways)
{
    m_gateways = gateways;
    std::vector<endpoint_record> newlyNamed;
    std::set<std::string> services;
    for (const routed_service &service : table.document().services) {
        services.insert(service.name);
    }
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!isNamed(endpoint->record.service) && services.contains(endpoint->record.service)) {
            newlyNamed.push_back(endpoint->record);
        }
    }
    m_services = std::move(services);
    for (const endpoint_record &record : newlyNamed) {
        removePredecessors(record);
    }
    m_paceModels.clear();
    for (const routed_service &service : table.document().services) {
        if (service.engine) {
            m_paceModels.emplace(service.name, paceModelOf(*service.engine, table.gapTargetOf(service.name)));
        }
    }
    for (const auto &[id, endpoint] : m_endpoints) {
        const routed_service *service = table.findService(endpoint->record.service);
        const double perSecond = service == nullptr ? 0.0 : service->coldRequestsPerSecond / gateways;
        endpoint->coldRate.configure(coldRateShare * perSecond, std::max(1.0, coldBurstShare * perSecond));
    }
}

void endpoint_table::setPeerLoads(const std::map<std::string, endpoint_load> &loads)
{
    for (const auto &[id, endpoint] : m_endpoints) {
        const auto found = loads.find(id);
        const endpoint_load load = found == loads.end() ? endpoint_load {} : found->second;
        endpoint->peersRunning = load.requests;
        endpoint->peersTokens = load.tokens;
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
    view.usable = acceptsRequests(endpoint, now) && now >= endpoint.avoidedUntil && endpoint.coldRate.available(now)
        && std::ranges::find(tried, endpoint.record.id) == tried.end();
    view.suspect = now < endpoint.suspectUntil;
    view.local = endpoint.record.dataCentre == m_dataCentre;
    view.gapMs = endpoint.gapMs;
    return view;
}

bool endpoint_table::anyUsable(const std::string &service, time_point now,
                               const std::optional<stream_demand> &demand) const
{
    return std::ranges::any_of(endpointsOf(service), [&](const gateway_endpoint_ptr &endpoint) {
        return acceptsRequests(*endpoint, now) && now >= endpoint->suspectUntil
            && (!demand || completes(*endpoint, *demand, now));
    });
}

bool endpoint_table::completes(const gateway_endpoint &endpoint, const stream_demand &demand, time_point now) const
{
    const auto interval = endpoint.group == nullptr ? std::nullopt : endpoint.group->eventInterval.value(now);
    return !interval || canComplete(demand, *interval, now);
}

bool endpoint_table::acceptsRequests(const gateway_endpoint &endpoint, time_point now) const
{
    if (!endpoint.listed || endpoint.record.leaving || m_dataCentresOutOfService.contains(endpoint.record.dataCentre)) {
        return false;
    }
    if (endpoint.group == nullptr) {
        return true;
    }
    const endpoint_group &group = *endpoint.group;
    const bool stalls = group.ownRunning >= minDetectionSamples && now - group.progressAt > progressTimeout;
    return now >= group.closedUntil && now >= group.refusedUntil && !stalls;
}

void endpoint_table::recordEvent(const gateway_endpoint &endpoint, std::optional<boot_clock::duration> gap,
                                 time_point now)
{
    recordAnswer(endpoint, now);
    if (endpoint.group == nullptr) {
        return;
    }
    endpoint_group &group = *endpoint.group;
    group.progressAt = now;
    if (gap) {
        group.eventInterval.record(*gap, now);
    }
    if (gap && group.endpoints > 0) {
        group.pace.record(*gap, static_cast<double>(group.running) / group.endpoints, now);
    }
}

void endpoint_table::recordAnswer(const gateway_endpoint &endpoint, time_point now)
{
    m_health[endpoint.record.service] = {0, now};
}

void endpoint_table::recordFailure(const gateway_endpoint &endpoint)
{
    ++m_health[endpoint.record.service].failures;
}

bool endpoint_table::isFailing(const std::string &service, time_point now) const
{
    const auto health = m_health.find(service);
    return health != m_health.end() && health->second.failures >= minDetectionSamples
        && now - health->second.respondedAt > progressTimeout;
}

bool endpoint_table::anyServiceFailing(time_point now) const
{
    return std::ranges::any_of(m_health, [&](const auto &entry) { return isFailing(entry.first, now); });
}

void endpoint_table::recordGroupRefusal(const gateway_endpoint &endpoint, time_point now)
{
    if (endpoint.group == nullptr) {
        return;
    }
    if (now >= endpoint.group->refusedUntil) {
        logLine(log_level::info, "gateway", "request refused because of a failed engine of the rank group",
                {{"group", endpoint.group->name}, {"endpoint", endpoint.record.id}});
    }
    endpoint.group->refusedUntil = now + refusalTimeout;
}

void endpoint_table::updateGroupLoads(const std::string &service, time_point now)
{
    const auto &endpoints = endpointsOf(service);
    for (const gateway_endpoint_ptr &endpoint : endpoints) {
        if (endpoint->group != nullptr) {
            endpoint->group->endpoints = 0;
            endpoint->group->running = 0;
            endpoint->group->ownRunning = 0;
        }
    }
    std::vector<endpoint_group *> groups;
    for (const gateway_endpoint_ptr &endpoint : endpoints) {
        endpoint_group *const group = endpoint->group.get();
        if (group == nullptr) {
            continue;
        }
        if (std::ranges::find(groups, group) == groups.end()) {
            groups.push_back(group);
        }
        group->endpoints += now < endpoint->avoidedUntil ? 0 : 1;
        group->running += endpoint->ownRunning + endpoint->peersRunning;
        group->ownRunning += endpoint->ownRunning;
    }
    const auto model = m_paceModels.find(service);
    for (endpoint_group *const group : groups) {
        if (group->ownRunning < minDetectionSamples) {
            group->progressAt = now;
        }
        if (model == m_paceModels.end()) {
            group->atLimit = false;
            group->atLateLimit = false;
        } else {
            updateLimits(*group, model->second, now);
        }
    }
}

void endpoint_table::updateLimits(endpoint_group &group, const pass_latency_model &model, time_point now) const
{
    const pass_limits limits = group.pace.limits(model, now);
    const double room = limits.late * group.endpoints - group.running;
    group.atLateLimit = limits.late < model.slots && !group.room.allows(room, m_gateways, now);
    group.atLimit = group.atLateLimit || group.running >= limits.inTime * group.endpoints;
    const pass_limits &reported = group.reportedLimits;
    const bool changed = limits.reason != reported.reason || std::abs(limits.late - reported.late) >= 1.0;
    if (!changed || now - group.reportedAt < limitLogInterval) {
        return;
    }
    static constexpr std::array<const char *, 3> reasons {"none", "shifts", "long_passes"};
    logLine(log_level::info, "gateway", "concurrency limit of a rank group changed",
            {{"group", group.name},
             {"reason", reasons.at(static_cast<std::size_t>(limits.reason))},
             {"requests_per_engine", limits.late},
             {"requests_in_time_per_engine", limits.inTime},
             {"running", group.running},
             {"endpoints", group.endpoints}});
    group.reportedLimits = limits;
    group.reportedAt = now;
}

void endpoint_table::recordPlacement(const gateway_endpoint &endpoint)
{
    if (endpoint.group != nullptr) {
        endpoint.group->room.take();
    }
}

std::vector<endpoint_view> endpoint_table::viewsOf(const std::string &service, std::span<const std::string> tried,
                                                   time_point now, bool late)
{
    updateGroupLoads(service, now);
    const auto &endpoints = endpointsOf(service);
    std::vector<endpoint_view> views;
    views.reserve(endpoints.size());
    for (const gateway_endpoint_ptr &endpoint : endpoints) {
        endpoint_view view = viewOf(*endpoint, tried, now);
        if (const endpoint_group *group = endpoint->group.get()) {
            view.usable = view.usable && !(late ? group->atLateLimit : group->atLimit);
        }
        views.push_back(view);
    }
    return views;
}

void endpoint_table::setGroups(const std::vector<group_state> &groups, time_point now)
{
    for (const group_state &state : groups) {
        std::shared_ptr<endpoint_group> &group = m_groups[state.name];
        if (group == nullptr) {
            group = std::make_shared<endpoint_group>();
            group->name = state.name;
            group->progressAt = now;
        }
        for (const std::string &id : state.endpoints) {
            if (const auto found = m_endpoints.find(id); found != m_endpoints.end()) {
                found->second->group = group;
                setAvoided(*found->second, std::ranges::find(state.avoided, id) != state.avoided.end(), now);
            }
        }
        const bool wasOpen = now >= group->closedUntil;
        if (wasOpen != state.open) {
            logLine(log_level::info, "gateway",
                    state.open ? "rank group accepts requests again" : "rank group closed to requests",
                    {{"group", state.name}, {"endpoints", state.endpoints.size()}});
        }
        if (state.open && !group->open) {
            group->refusedUntil = {};
        }
        group->open = state.open;
        group->closedUntil = state.open ? time_point {} : now + closedStateTimeout;
    }
}

void endpoint_table::setAvoided(gateway_endpoint &endpoint, bool avoided, time_point now)
{
    const bool wasAvoided = now < endpoint.avoidedUntil;
    if (avoided != wasAvoided) {
        logLine(log_level::info, "gateway",
                avoided ? "slow engine of a rank group gets no requests" : "engine of a rank group gets requests again",
                {{"endpoint", endpoint.record.id}, {"group", endpoint.group->name}});
    }
    endpoint.avoidedUntil = avoided ? now + avoidedStateTimeout : time_point {};
}

void endpoint_table::rebuild()
{
    m_byService.clear();
    for (const auto &[id, endpoint] : m_endpoints) {
        m_byService[endpoint->record.service].push_back(endpoint);
    }
}

} // namespace bronzechute
