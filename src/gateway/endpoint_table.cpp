#include "gateway/endpoint_table.h"

#include "balance/cold_permits.h"
#include "gateway/endpoint_connection.h"
#include "observe/log.h"

#include <algorithm>

namespace bronzechute {

namespace {

// A cold start of which no length was reported is assumed to last this long. Known ones last 3 s.
constexpr std::chrono::milliseconds assumedColdPeriod {4000};
// Covers the age of a report when it arrives.
constexpr std::chrono::milliseconds coldReportDelay {1000};
// One endpoint that reports a longer cold start must not slow all endpoints of its service down.
constexpr std::chrono::milliseconds maxColdPeriod {30000};
// Exceeds the interval at which the coordinator repeats group states. Without a coordinator, engines are tried again.
constexpr std::chrono::milliseconds closedStateTimeout {1500};
// Exceeds the time without a coordinator during a usual outage of the store.
constexpr std::chrono::seconds avoidedStateTimeout {6};
// Within this time, a reachable coordinator learns of the failure by itself.
constexpr std::chrono::milliseconds refusalTimeout {400};
// A forward pass takes well under 200 ms. Without an event for longer than this, an engine of the group is missing.
constexpr std::chrono::milliseconds progressTimeout {500};
// Gateways return to an endpoint after its pause within this share of the pause, and at most within this time.
constexpr int pauseSpreadDivisor = 4;
constexpr std::chrono::milliseconds maxPauseSpread {400};
// Fewer requests or failures than this are no evidence of a stalled group or a failing service.
constexpr int minDetectionSamples = 3;
constexpr double gapSmoothing = 0.1;
constexpr double longestGapDecay = 0.02;

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
    return {engine.stepMs, perRequest, static_cast<double>(engine.slots), gapTarget};
}

/** @returns the share of an average request's part in a step that grows with its tokens. */
double tokenWeightOf(const engine_profile &engine)
{
    const double perRequest = paceModelOf(engine, {}).stepMsPerRequest;
    return perRequest > 0 ? 1 - engine.stepMsPerRequest / perRequest : 0.0;
}

/** Updates the statistics of the time between two events of the endpoint's streams. */
void recordGap(gateway_endpoint &endpoint, boot_clock::duration time, time_point now)
{
    const double gap = std::chrono::duration<double, std::milli>(time).count();
    double &smoothed = endpoint.gapMs;
    smoothed = smoothed == 0 ? gap : smoothed + gapSmoothing * (gap - smoothed);
    endpoint.lastGapMs = gap;
    endpoint.lastGapAt = now;
    double &longest = endpoint.longestGapMs;
    longest = std::max(gap, longest + longestGapDecay * (gap - longest));
}

} // namespace

endpoint_table::endpoint_table(std::string dataCentre) : m_dataCentre(std::move(dataCentre))
{
}

std::vector<endpoint_run> endpoint_table::update(const endpoint_record &record, time_point now)
{
    std::chrono::milliseconds &longestCold = m_longestCold[record.service];
    longestCold = std::max(longestCold, record.coldRemaining);
    gateway_endpoint_ptr &known = m_endpoints[record.id];
    const bool sameStart = known != nullptr && known->record.startedAtMs == record.startedAtMs
        && known->record.address == record.address && known->record.service == record.service;
    if (sameStart) {
        if (known->record.leaving != record.leaving) {
            logLine(log_level::info, "gateway", record.leaving ? "endpoint is draining" : "endpoint is serving again",
                    {{"endpoint", record.id}, {"service", record.service}});
        }
        known->record = record;
        noteListedLeaving(*known);
        if (record.coldRemaining.count() > 0) {
            known->warmth.presumeCold(now, record.coldRemaining + coldReportDelay);
        }
        return {};
    }
    std::vector<endpoint_run> ended;
    if (known != nullptr) {
        known->listed = false;
        m_unlistedStatements.keep(*known, now);
        ended.push_back({known->record.id, known->record.startedAtMs});
    }
    known = std::make_shared<gateway_endpoint>();
    known->record = record;
    m_unlistedStatements.restore(*known);
    noteListedLeaving(*known);
    if (!m_initialListComplete && ended.empty() && record.coldRemaining.count() == 0) {
        known->warmth.setWarm();
    } else {
        known->warmth.presumeCold(now, coldPeriodOf(record.service));
    }
    configureRates(*known);
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

void endpoint_table::noteListedLeaving(gateway_endpoint &endpoint)
{
    // A run does not come back from leaving, also if the directory goes back to an earlier entry of it.
    endpoint.saysLeaving = endpoint.saysLeaving || (endpoint.record.leaving && endpoint.record.startedAtMs != 0);
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
    m_unlistedStatements.keep(*found->second, boot_clock::now());
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

void endpoint_table::setInitialListComplete()
{
    m_initialListComplete = true;
}

boot_clock::duration endpoint_table::coldPeriodOf(const std::string &service) const
{
    const auto found = m_longestCold.find(service);
    const std::chrono::milliseconds reported =
        found == m_longestCold.end() ? std::chrono::milliseconds(0) : found->second;
    return std::clamp(reported + coldReportDelay, assumedColdPeriod, maxColdPeriod);
}

void endpoint_table::setDataCentre(const std::string &name, bool inService, time_point now)
{
    const bool changed =
        inService ? m_dataCentresOutOfService.erase(name) > 0 : m_dataCentresOutOfService.insert(name).second;
    if (changed) {
        logLine(log_level::info, "gateway", inService ? "data centre in service" : "data centre out of service",
                {{"data_centre", name}});
    }
    for (const auto &[id, endpoint] : m_endpoints) {
        if (changed && inService && endpoint->record.dataCentre == name) {
            endpoint->warmth.presumeCold(now, coldPeriodOf(endpoint->record.service));
        }
    }
}

void endpoint_table::applyRouting(const routing_table &table, int gateways)
{
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
            m_forecasts[service.name].configure(tokenWeightOf(*service.engine), service.engine->memoryTokens);
        }
    }
    std::erase_if(m_longestCold, [this](const auto &entry) { return !m_services->contains(entry.first); });
    m_gateways = gateways;
    m_coldRates.clear();
    for (const routed_service &service : table.document().services) {
        m_coldRates.emplace(service.name, service.coldRequestsPerSecond);
    }
    for (const auto &[id, endpoint] : m_endpoints) {
        configureRates(*endpoint);
    }
}

void endpoint_table::setFleet(const gateway_fleet &fleet)
{
    m_fleet = fleet;
    for (const auto &[id, endpoint] : m_endpoints) {
        configureRates(*endpoint);
    }
}

void endpoint_table::configureRates(gateway_endpoint &endpoint) const
{
    const auto found = m_coldRates.find(endpoint.record.service);
    const double perSecond = found == m_coldRates.end() ? 0.0 : found->second;
    if (perSecond <= 0) {
        endpoint.mayWarm = true;
        endpoint.coldRate.configure(0, 0);
        endpoint.warmRate.configure(0, 0);
        return;
    }
    const rate_share warm = warmShare(m_gateways, perSecond);
    endpoint.warmRate.configure(warm.perSecond, warm.burst);
    const auto cold = coldPermit(m_fleet, endpoint.record.id, perSecond);
    endpoint.mayWarm = cold.has_value();
    if (cold) {
        endpoint.coldRate.configure(cold->perSecond, cold->burst);
    }
}

bool endpoint_table::isWarm(const gateway_endpoint &endpoint, time_point now)
{
    // A group whose closed state has expired without a report may come back at any moment.
    return endpoint.warmth.isWarm(now) && (endpoint.group == nullptr || endpoint.group->open);
}

bool endpoint_table::rateAllows(const gateway_endpoint &endpoint, time_point now)
{
    return isWarm(endpoint, now) ? endpoint.warmRate.available(now)
                                 : endpoint.mayWarm && endpoint.coldRate.available(now);
}

void endpoint_table::recordSent(gateway_endpoint &endpoint, time_point now)
{
    // From both, so that an endpoint that turns cold now does not get the burst of a second bucket.
    endpoint.coldRate.take(now);
    endpoint.warmRate.take(now);
}

void endpoint_table::recordSilence(gateway_endpoint &endpoint, time_point now)
{
    endpoint.warmth.onSilence(now);
}

time_point endpoint_table::rateAllowsAt(const std::string &service, time_point now) const
{
    time_point earliest = time_point::max();
    for (const gateway_endpoint_ptr &endpoint : endpointsOf(service)) {
        if (!acceptsRequests(*endpoint, now) || now < endpoint->avoidedUntil) {
            continue;
        }
        if (isWarm(*endpoint, now)) {
            earliest = std::min(earliest, endpoint->warmRate.availableAt(now));
            continue;
        }
        earliest = std::min(earliest, std::max(now, endpoint->warmth.warmAt()));
        if (endpoint->mayWarm) {
            earliest = std::min(earliest, endpoint->coldRate.availableAt(now));
        }
    }
    return earliest;
}

void endpoint_table::setPeerLoads(const std::map<std::string, endpoint_load> &loads, std::chrono::milliseconds age)
{
    for (const auto &[id, endpoint] : m_endpoints) {
        const auto found = loads.find(id);
        const endpoint_load load = found == loads.end() ? endpoint_load {} : found->second;
        endpoint->peersRunning = load.requests;
        endpoint->peersTokens = load.tokens;
    }
    const time_point now = boot_clock::now();
    for (const auto &[service, endpoints] : m_byService) {
        m_forecasts[service].setAge(age);
        advanceForecast(service, now);
    }
}

void endpoint_table::recordPlaced(const gateway_endpoint &endpoint, std::int64_t tokens, time_point now)
{
    m_forecasts[endpoint.record.service].recordPlaced(tokens, now);
}

void endpoint_table::recordReleased(const gateway_endpoint &endpoint, time_point now)
{
    m_forecasts[endpoint.record.service].recordReleased(now);
}

std::vector<endpoint_work> endpoint_table::workOf(const std::string &service) const
{
    std::vector<endpoint_work> work;
    for (const gateway_endpoint_ptr &endpoint : endpointsOf(service)) {
        work.push_back({{endpoint->ownRunning, endpoint->ownTokens},
                        {endpoint->peersRunning, endpoint->peersTokens},
                        endpoint->foreseen});
    }
    return work;
}

void endpoint_table::advanceForecast(const std::string &service, time_point now)
{
    load_forecast &forecast = m_forecasts[service];
    if (!forecast.due(now)) {
        return;
    }
    const auto &endpoints = endpointsOf(service);
    std::vector<endpoint_view> views;
    views.reserve(endpoints.size());
    for (const gateway_endpoint_ptr &endpoint : endpoints) {
        views.push_back(viewOf(*endpoint, {}, now));
    }
    std::vector<endpoint_work> work = workOf(service);
    forecast.advance(views, work, now);
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        endpoints[index]->foreseen = work[index].foreseen;
    }
}

double endpoint_table::concurrentPlacements(const std::string &service, time_point now) const
{
    const auto forecast = m_forecasts.find(service);
    return forecast == m_forecasts.end() ? 0.0 : forecast->second.concurrent(workOf(service), now);
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
    view.usable = acceptsRequests(endpoint, now) && now >= endpoint.avoidedUntil && rateAllows(endpoint, now)
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
    return now >= endpoint.pausedUntil && isInService(endpoint, now);
}

bool endpoint_table::wantsRequests(const gateway_endpoint &endpoint, time_point now)
{
    return !endpoint.saysLeaving && now >= endpoint.pausedUntil;
}

time_point endpoint_table::earliestRoom(const std::string &service, time_point now) const
{
    std::optional<time_point> earliest;
    for (const gateway_endpoint_ptr &endpoint : endpointsOf(service)) {
        if (!endpoint->listed || m_dataCentresOutOfService.contains(endpoint->record.dataCentre)) {
            continue;
        }
        const bool leaves = endpoint->record.leaving || endpoint->saysLeaving;
        const time_point roomAt = leaves ? time_point::max() : std::max(now, endpoint->pausedUntil);
        earliest = std::min(earliest.value_or(roomAt), roomAt);
        if (*earliest == now) {
            break;
        }
    }
    return earliest.value_or(now);
}

bool endpoint_table::isInService(const gateway_endpoint &endpoint, time_point now) const
{
    return !outOfServiceReason(endpoint, now);
}

std::optional<endpoint_obstacle> endpoint_table::outOfServiceReason(const gateway_endpoint &endpoint,
                                                                    time_point now) const
{
    if (!endpoint.listed) {
        return endpoint_obstacle::not_listed;
    }
    if (endpoint.record.leaving || endpoint.saysLeaving) {
        return endpoint_obstacle::leaving;
    }
    if (m_dataCentresOutOfService.contains(endpoint.record.dataCentre)) {
        return endpoint_obstacle::data_centre_out_of_service;
    }
    if (endpoint.group == nullptr) {
        return std::nullopt;
    }
    const endpoint_group &group = *endpoint.group;
    if (now < group.closedUntil) {
        return endpoint_obstacle::group_closed;
    }
    if (now < group.refusedUntil) {
        return endpoint_obstacle::group_refused;
    }
    const bool stalls = group.ownRunning >= minDetectionSamples && now - group.progressAt > progressTimeout;
    return stalls ? std::optional(endpoint_obstacle::group_stalls) : std::nullopt;
}

std::optional<endpoint_obstacle> endpoint_table::obstacleOf(const gateway_endpoint &endpoint, time_point now) const
{
    if (const auto reason = outOfServiceReason(endpoint, now)) {
        return reason;
    }
    if (now < endpoint.pausedUntil) {
        return endpoint_obstacle::paused;
    }
    if (now < endpoint.avoidedUntil) {
        return endpoint_obstacle::slow;
    }
    if (!rateAllows(endpoint, now)) {
        return endpoint_obstacle::cold_rate;
    }
    if (endpoint.group != nullptr && endpoint.group->atLimit) {
        return endpoint_obstacle::group_at_limit;
    }
    const bool isFull = endpoint.ownRunning + endpoint.peersRunning >= endpoint.record.slots;
    return isFull ? std::optional(endpoint_obstacle::no_free_slot) : std::nullopt;
}

void endpoint_table::recordEvent(gateway_endpoint &endpoint, std::optional<boot_clock::duration> gap, time_point now)
{
    recordAnswer(endpoint, now);
    if (gap) {
        recordGap(endpoint, *gap, now);
    }
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

void endpoint_table::recordAnswer(gateway_endpoint &endpoint, time_point now)
{
    endpoint.warmth.onResponse(now, coldPeriodOf(endpoint.record.service));
    m_health[endpoint.record.service] = {0, now};
}

void endpoint_table::recordStatement(gateway_endpoint &endpoint, const endpoint_statement &statement, time_point now,
                                     std::mt19937_64 &random)
{
    if (statement.leaving && !endpoint.saysLeaving) {
        logLine(log_level::info, "gateway", "endpoint says that it is leaving",
                {{"endpoint", endpoint.record.id}, {"service", endpoint.record.service}});
        endpoint.saysLeaving = true;
    }
    if (statement.ignoredPause && !endpoint.hasInvalidPause) {
        logLine(log_level::warn, "gateway", "endpoint asks for a pause that is not a number of seconds; ignored",
                {{"endpoint", endpoint.record.id}, {"service", endpoint.record.service}});
        endpoint.hasInvalidPause = true;
    }
    if (!statement.pause) {
        return;
    }
    if (now >= endpoint.pausedUntil) {
        logLine(log_level::info, "gateway", "endpoint asks for a pause",
                {{"endpoint", endpoint.record.id},
                 {"service", endpoint.record.service},
                 {"pause_ms", statement.pause->count()},
                 {"cut_short", *statement.pause == maxEndpointPause}});
    }
    const std::chrono::milliseconds spread = std::min(*statement.pause / pauseSpreadDivisor, maxPauseSpread);
    const std::chrono::milliseconds later(std::uniform_int_distribution<std::int64_t>(0, spread.count())(random));
    endpoint.pausedUntil = std::max(endpoint.pausedUntil, now + *statement.pause + later);
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
        for (const auto &[id, each] : m_endpoints) {
            if (each->group == endpoint.group) {
                each->warmth.presumeCold(now + refusalTimeout, coldPeriodOf(each->record.service));
            }
        }
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
        group->atLimit =
            model != m_paceModels.end() && group->running >= group->pace.limit(model->second, now) * group->endpoints;
    }
}

std::vector<endpoint_view> endpoint_table::viewsOf(const std::string &service, std::span<const std::string> tried,
                                                   time_point now)
{
    updateGroupLoads(service, now);
    advanceForecast(service, now);
    return lastViewsOf(service, tried, now);
}

std::vector<endpoint_view> endpoint_table::lastViewsOf(const std::string &service, std::span<const std::string> tried,
                                                       time_point now) const
{
    const auto &endpoints = endpointsOf(service);
    std::vector<endpoint_view> views;
    views.reserve(endpoints.size());
    for (const gateway_endpoint_ptr &endpoint : endpoints) {
        endpoint_view view = viewOf(*endpoint, tried, now);
        view.usable = view.usable && (endpoint->group == nullptr || !endpoint->group->atLimit);
        views.push_back(view);
    }
    if (const auto forecast = m_forecasts.find(service); forecast != m_forecasts.end()) {
        forecast->second.apply(views, workOf(service), now);
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
            for (const auto &[id, endpoint] : m_endpoints) {
                if (endpoint->group == group) {
                    endpoint->warmth.onReturn(now, coldPeriodOf(endpoint->record.service));
                }
            }
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
