#include "gateway/map_coordinator.h"

#include "observe/log.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds tickInterval {20};
// Interval while this gateway is not the coordinator.
constexpr std::chrono::milliseconds followerTickInterval {100};
constexpr std::chrono::milliseconds discoveryInterval {500};
// Reports are some 100 ms old when they are read, so more frequent requests would gain little.
constexpr std::chrono::milliseconds settledGroupReportInterval {500};
// Interval while the group is closed, is held or has not begun the step of its last switch.
constexpr std::chrono::milliseconds unsettledGroupReportInterval {150};
// Exceeds the age of a report, which may still show a hold that was released since.
constexpr std::chrono::milliseconds heldGroupTimeout {400};
constexpr std::chrono::milliseconds switchCheckInterval {300};
// Map versions reserved for each term. Terms are store revisions, so a later term issues higher versions.
constexpr std::int64_t versionsPerTerm = 10000;
// Fraction of the target time between events from which on a new map is worth its cost.
constexpr double slowGapShare = 0.62;
constexpr std::chrono::milliseconds defaultGapTarget {100};

} // namespace

map_coordinator::map_coordinator(boost::asio::io_context &loop, endpoint_table &endpoints, rank_engine_client &engines,
                                 const coordinator_term &coordinatorTerm)
    : m_timer(loop), m_endpoints(endpoints), m_engines(engines), m_coordinatorTerm(coordinatorTerm)
{
}

void map_coordinator::start()
{
    schedule();
}

void map_coordinator::setRouting(std::shared_ptr<const routing_table> table)
{
    m_table = std::move(table);
}

void map_coordinator::stop()
{
    m_stopping = true;
}

bool map_coordinator::switching() const
{
    return std::ranges::any_of(m_groups, [](const auto &entry) { return entry.second.mapSwitch.has_value(); });
}

std::vector<group_state> map_coordinator::groupStates() const
{
    std::vector<group_state> states;
    if (m_term == 0) {
        return states;
    }
    for (const auto &[key, group] : m_groups) {
        group_state state {key, group.open, {}, {}};
        for (std::size_t rank = 0; rank < group.ranks.size(); ++rank) {
            if (const gateway_endpoint_ptr endpoint = group.listedRank(rank)) {
                state.endpoints.push_back(endpoint->record.id);
            }
        }
        for (const std::size_t rank : group.speeds.avoidedRanks(group.ranks.size())) {
            if (const gateway_endpoint_ptr endpoint = group.listedRank(rank)) {
                state.avoided.push_back(endpoint->record.id);
            }
        }
        states.push_back(std::move(state));
    }
    return states;
}

void map_coordinator::setGroupsListener(std::function<void()> onGroups)
{
    m_onGroupStateChange = std::move(onGroups);
}

std::string map_coordinator::groupKey(const std::string &service, const std::string &name)
{
    return service + "/" + name;
}

const engine_profile *map_coordinator::profileOf(const std::string &service) const
{
    const routed_service *known = m_table == nullptr ? nullptr : m_table->findService(service);
    const bool grouped = known != nullptr && known->engine && known->engine->expertLayers > 0;
    return grouped ? &*known->engine : nullptr;
}

void map_coordinator::schedule()
{
    m_timer.expires_after(m_term == 0 ? followerTickInterval : tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &code) {
        if (!code) {
            schedule(); // First, as an exception in tick() must not end the ticks.
            tick();
        }
    });
}

void map_coordinator::tick()
{
    const time_point now = boot_clock::now();
    applyTerm(m_coordinatorTerm.term(now), now);
    for (auto &[key, group] : m_groups) {
        if (group.mapSwitch) {
            advanceSwitch(group, now);
        }
    }
    if (m_term == 0) {
        return;
    }
    discoverEngines(now);
    for (const auto &[service, demand] : m_services) {
        readDemand(service, *demand, now);
    }
    for (auto &[key, group] : m_groups) {
        const auto demand = m_services.find(group.service);
        if (!group.mapSwitch && !m_stopping && demand != m_services.end()) {
            planSwitch(group, *demand->second, now);
        }
    }
}

void map_coordinator::applyTerm(std::int64_t term, time_point now)
{
    if (term == m_term) {
        return;
    }
    m_term = term;
    if (term != 0 && term != m_versionTerm) { // A term may come back after a late renewal of its lease.
        m_versionTerm = term;
        m_versionsIssued = 0;
    }
    m_services.clear();
    m_groupOfEndpoint.clear();
    m_discoverAt = now;
    // Switches whose group may be held are kept: they only move forward, so it is safe if the next coordinator
    // completes them as well.
    std::erase_if(m_groups, [](const auto &entry) {
        const rank_group &group = entry.second;
        return !group.mapSwitch || !group.mapSwitch->mayHold();
    });
}

void map_coordinator::discoverEngines(time_point now)
{
    for (auto &[key, group] : m_groups) {
        group.stepTimes.update(group.meanStepTime(now));
        pollReport(group, now);
        readSpeeds(group, now);
    }
    if (now < m_discoverAt) {
        return;
    }
    m_discoverAt = now + discoveryInterval;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (profileOf(endpoint->record.service) != nullptr && endpoint->listed && !m_groupOfEndpoint.contains(id)) {
            requestReport(endpoint, {});
        }
    }
}

void map_coordinator::pollReport(rank_group &group, time_point now)
{
    const bool held = group.heldStep > group.step && !group.mapSwitch;
    const bool settled = group.open && group.switchBegun() && !held;
    if (now - group.reportRequestedAt < (settled ? settledGroupReportInterval : unsettledGroupReportInterval)) {
        return;
    }
    group.reportRequestedAt = now;
    for (std::size_t tries = 0; tries < group.ranks.size(); ++tries) {
        if (const gateway_endpoint_ptr rank = group.listedRank(group.reportRank)) {
            requestReport(rank, [this, key = groupKey(group.service, group.name)] {
                const auto found = m_groups.find(key);
                if (found != m_groups.end()) {
                    found->second.reportRank = (found->second.reportRank + 1) % found->second.ranks.size();
                    found->second.reportRequestedAt = {};
                }
            });
            return;
        }
        group.reportRank = (group.reportRank + 1) % group.ranks.size();
    }
}

void map_coordinator::readSpeeds(rank_group &group, time_point now)
{
    if (!group.open || !group.complete() || !group.speeds.isDue(isSlow(group, now), group.longestStepTime(now), now)) {
        return;
    }
    for (const gateway_endpoint_ptr &rank : group.ranks) {
        requestReport(rank, {});
    }
}

void map_coordinator::requestReport(const gateway_endpoint_ptr &endpoint, std::function<void()> onFailure)
{
    m_engines.readReport(
        endpoint, [this, endpoint, term = m_term, onFailure = std::move(onFailure)](const result<rank_report> &report) {
            if (term != m_term || m_term == 0) {
                return;
            }
            if (report) {
                onReport(endpoint, report.value());
            } else if (onFailure) {
                onFailure();
            }
        });
}

void map_coordinator::onReport(const gateway_endpoint_ptr &endpoint, const rank_report &report)
{
    if (report.group.empty() || report.rank >= report.ranks) {
        return;
    }
    const std::string key = groupKey(endpoint->record.service, report.group);
    rank_group &group = m_groups[key];
    group.name = report.group;
    group.service = endpoint->record.service;
    auto &demand = m_services[group.service];
    if (demand == nullptr) {
        demand = std::make_shared<service_demand>(group.service, m_endpoints, m_engines);
    }
    group.ranks.resize(std::max(group.ranks.size(), report.ranks));
    if (group.ranks[report.rank] != endpoint) {
        group.ranks[report.rank] = endpoint;
    }
    group.speeds.record(report.rank, report.pace, boot_clock::now());
    if (report.epoch == group.epoch) {
        group.step = std::max(group.step, report.step);
    }
    if (report.open) {
        group.reportRank = group_switch::holdingRank; // The report of this rank shows an abandoned hold.
    }
    const bool changed = group.open != report.open || !m_groupOfEndpoint.contains(endpoint->record.id);
    group.open = report.open;
    m_groupOfEndpoint[endpoint->record.id] = key;
    if (changed && m_onGroupStateChange) {
        m_onGroupStateChange();
    }
    const bool lacksMap = report.open && !group.map && group.pendingExpertReads == 0 && !group.mapSwitch;
    if (report.epoch > group.epoch || lacksMap) {
        applyEpoch(group, report);
    }
    if (report.epoch == group.epoch && report.held && !group.mapSwitch && group.complete()) {
        recoverHeldGroup(group, report);
    }
}

void map_coordinator::applyEpoch(rank_group &group, const rank_report &report)
{
    if (report.epoch > group.epoch) {
        logLine(log_level::info, "coordinator", "rank group formed with a new epoch",
                {{"group", group.name}, {"epoch", report.epoch}, {"before", group.epoch}, {"map", report.map}});
        group.epoch = report.epoch;
        group.mapSwitch.reset();
        group.pendingMap.reset();
        group.map.reset();
        group.pendingExpertReads = 0;
        group.reformed = report.map == 0;
        group.step = report.step;
        group.switchStep = 0;
        group.heldStep = 0;
    }
    const engine_profile *profile = profileOf(group.service);
    if (!report.open || profile == nullptr || report.epoch != group.epoch) {
        return;
    }
    group.version = report.map;
    if (report.map == 0) {
        group.map = roundRobinMap(profile->expertLayers, profile->expertsPerLayer, report.ranks);
    } else if (group.complete()) {
        readMap(group);
    }
}

void map_coordinator::readMap(rank_group &group)
{
    const engine_profile *profile = profileOf(group.service);
    group.pendingMap = expert_map {profile->expertLayers, profile->expertsPerLayer, group.ranks.size(), {}};
    group.pendingMap->copies.resize(profile->expertLayers * profile->expertsPerLayer);
    group.pendingExpertReads = group.ranks.size();
    const std::string key = groupKey(group.service, group.name);
    for (std::size_t rank = 0; rank < group.ranks.size(); ++rank) {
        m_engines.readExperts(
            group.ranks[rank],
            [this, key, rank, epoch = group.epoch, term = m_term](const result<rank_experts> &experts) {
                if (term == m_term && m_term != 0) {
                    onExperts(key, epoch, rank, experts);
                }
            });
    }
}

void map_coordinator::onExperts(const std::string &key, std::int64_t epoch, std::size_t rank,
                                const result<rank_experts> &experts)
{
    rank_group &group = m_groups[key];
    if (group.epoch != epoch || group.pendingExpertReads == 0 || !group.pendingMap) {
        return;
    }
    --group.pendingExpertReads;
    expert_map &map = *group.pendingMap;
    const bool fits =
        experts && experts.value().version == group.version && experts.value().byLayer.size() == map.layers;
    if (!fits) {
        group.pendingMap.reset(); // Read again after the next report.
        group.pendingExpertReads = 0;
        return;
    }
    for (std::size_t layer = 0; layer < map.layers; ++layer) {
        for (const std::uint16_t expert : experts.value().byLayer[layer]) {
            if (expert < map.experts) {
                auto &copies = map.copies[layer * map.experts + expert];
                copies.insert(std::ranges::upper_bound(copies, rank), static_cast<std::uint16_t>(rank));
            }
        }
    }
    if (group.pendingExpertReads > 0) {
        return;
    }
    const bool whole = std::ranges::none_of(map.copies, [](const auto &copies) { return copies.empty(); });
    if (whole) {
        group.map = std::move(group.pendingMap);
    }
    group.pendingMap.reset();
}

void map_coordinator::recoverHeldGroup(rank_group &group, const rank_report &report)
{
    const time_point now = boot_clock::now();
    if (group.heldStep != *report.held) {
        group.heldStep = *report.held;
        group.heldSeenAt = now;
    }
    if (now - group.heldSeenAt < heldGroupTimeout || report.step >= *report.held) {
        return;
    }
    const std::int64_t version = report.armed.value_or(report.prepared.value_or(0));
    logLine(log_level::warn, "coordinator", "rank group is held by an abandoned map switch",
            {{"group", group.name}, {"epoch", group.epoch}, {"step", *report.held}, {"version", version}});
    group.heldSeenAt = now;
    if (version == 0) {
        return; // The holding rank is still loading experts; a later report has the version.
    }
    group.map.reset();
    group.pendingMap.reset();
    group.pendingExpertReads = 0;
    group.mapSwitch = group_switch::resume(group.epoch, version, group.ranks.size(), *report.held, now);
    group.checkedAt = now;
}

void map_coordinator::readDemand(const std::string &service, service_demand &demand, time_point now)
{
    const engine_profile *profile = profileOf(service);
    if (profile != nullptr && needsDemand(service, now)) {
        const bool slowed = std::ranges::any_of(m_groups, [&](const auto &entry) {
            return entry.second.service == service && entry.second.stepTimes.hasSlowed();
        });
        demand.read(
            profile->expertLayers, [this](const std::string &id) { return m_groupOfEndpoint.contains(id); }, slowed,
            now);
    }
}

void map_coordinator::planSwitch(rank_group &group, const service_demand &demand, time_point now)
{
    const engine_profile *profile = profileOf(group.service);
    if (!group.map || profile == nullptr || !group.complete() || !group.open || !group.switchBegun()) {
        return;
    }
    if (group.heldStep > group.step) {
        return; // The hold of an abandoned switch is ended first.
    }
    const load_matrix *known = demand.current(now);
    // A group that formed again starts with the initial map, which does not fit the demand before its failure either.
    const load_matrix *assumed = group.reformed ? demand.assumed(now) : nullptr;
    const switch_occasion occasion {known != nullptr, assumed != nullptr, group.hasInitialMap(), isSlow(group, now),
                                    std::max(demand.changedAt(), group.speeds.changedAt())};
    if (!group.schedule.isDue(occasion, now)) {
        return;
    }
    group.reformed = false;
    const std::vector<double> speeds = group.speeds.speeds(group.ranks.size());
    std::optional<map_change> change =
        planMapChange(*group.map, known != nullptr ? *known : *assumed, speeds, *profile);
    group.schedule.onPlanned(change.has_value(), now);
    if (change) {
        startSwitch(group, std::move(*change), demand.selectionsPerExpert(), now);
    }
}

void map_coordinator::startSwitch(rank_group &group, map_change change, double selectionsPerExpert, time_point now)
{
    const std::int64_t version = m_term * versionsPerTerm + ++m_versionsIssued;
    const std::vector<double> speeds = group.speeds.speeds(group.ranks.size());
    using milliseconds = std::chrono::duration<double, std::milli>;
    logLine(log_level::info, "coordinator", "expert map switch started",
            {{"group", group.name},
             {"epoch", group.epoch},
             {"version", version},
             {"loads", change.loads},
             {"copy_ms", milliseconds(change.copyTime).count()},
             {"slow_ranks", std::ranges::count_if(speeds, [](double speed) { return speed < 1.0; })},
             {"selections", selectionsPerExpert},
             {"plan_ms", milliseconds(boot_clock::now() - now).count()},
             {"skew_before", change.skewBefore},
             {"skew_after", change.skewAfter}});
    group.pendingMap = std::move(change.map);
    group.stepRequested = false;
    group.mapSwitch.emplace(group.epoch, version, group.ranks.size(), change.copyTime, now);
    group.mapSwitch->setCopyTimes(std::move(change.copyTimes));
}

bool map_coordinator::needsDemand(const std::string &service, time_point now) const
{
    return std::ranges::any_of(m_groups, [&](const auto &entry) {
        const rank_group &group = entry.second;
        return group.service == service && group.complete() && (isSlow(group, now) || group.hasInitialMap());
    });
}

bool map_coordinator::isSlow(const rank_group &group, time_point now) const
{
    const auto declared = m_table->gapTargetOf(group.service);
    const auto target = declared.count() == 0 ? defaultGapTarget : declared;
    return group.longestStepTime(now) > slowGapShare * std::chrono::duration<double, std::milli>(target);
}

rank_group *map_coordinator::groupWithSwitch(const std::string &key, std::int64_t version)
{
    const auto found = m_groups.find(key);
    const bool same =
        found != m_groups.end() && found->second.mapSwitch && found->second.mapSwitch->version() == version;
    return same ? &found->second : nullptr;
}

bool map_coordinator::leads(time_point now) const
{
    return m_term != 0 && m_coordinatorTerm.term(now) == m_term;
}

void map_coordinator::advanceSwitch(rank_group &group, time_point now)
{
    static const expert_map none;
    if (!group.mapSwitch->ended() && !group.mapSwitch->mayHold() && !leads(now)) {
        return; // applyTerm() drops it.
    }
    const std::string key = groupKey(group.service, group.name);
    for (const addressed_command &order : group.mapSwitch->due(now)) {
        m_engines.send(group.ranks[order.rank], order.order, group.pendingMap ? *group.pendingMap : none,
                       [this, key, order, version = group.mapSwitch->version()](command_outcome outcome) {
                           rank_group *const ordered = groupWithSwitch(key, version);
                           if (ordered == nullptr) {
                               return;
                           }
                           const bool isLateHold = order.order.kind == rank_command_kind::hold
                               && outcome == command_outcome::rejected && !leads(boot_clock::now());
                           if (isLateHold) {
                               ordered->mapSwitch->abandonHold(); // Another coordinator may have begun a switch.
                           } else {
                               ordered->mapSwitch->onOutcome(order, outcome, boot_clock::now());
                           }
                           if (outcome != command_outcome::accepted) {
                               logLine(log_level::info, "coordinator", "engine did not accept an order",
                                       {{"group", ordered->name},
                                        {"rank", order.rank},
                                        {"order", nameOf(order.order.kind)},
                                        {"version", version},
                                        {"step", order.order.step},
                                        {"outcome", outcome == command_outcome::rejected ? "rejected" : "unknown"}});
                           }
                           advanceSwitch(*ordered, boot_clock::now());
                       });
    }
    if (!group.mapSwitch) {
        return; // Ended by an outcome that was delivered synchronously.
    }
    if (group.mapSwitch->phase() == switch_phase::reading_step && !group.stepRequested) {
        readSwitchStep(group);
    }
    if (group.mapSwitch->mayHold() && now - group.checkedAt > switchCheckInterval) {
        checkHeldSwitch(group, now);
    }
    if (group.mapSwitch->ended()) {
        finishSwitch(group, now);
    }
}

void map_coordinator::checkHeldSwitch(rank_group &group, time_point now)
{
    group.checkedAt = now;
    const std::string key = groupKey(group.service, group.name);
    m_engines.readReport(group.ranks[group.checkedRank],
                         [this, key, version = group.mapSwitch->version()](const result<rank_report> &report) {
                             rank_group *const checked = groupWithSwitch(key, version);
                             if (checked == nullptr) {
                                 return;
                             }
                             if (!report) {
                                 // The engine may be gone for good, so the next check asks another one.
                                 checked->checkedRank = (checked->checkedRank + 1) % checked->ranks.size();
                                 return;
                             }
                             const bool armsRanks = checked->mapSwitch->phase() != switch_phase::holding;
                             if (report.value().epoch != checked->epoch) {
                                 checked->mapSwitch->onNewEpoch();
                             } else if (armsRanks && report.value().step >= checked->mapSwitch->step()) {
                                 checked->mapSwitch->onStepBegun();
                             }
                         });
}

void map_coordinator::readSwitchStep(rank_group &group)
{
    group.stepRequested = true;
    const std::string key = groupKey(group.service, group.name);
    m_engines.readReport(group.ranks[group_switch::holdingRank],
                         [this, key, version = group.mapSwitch->version()](const result<rank_report> &report) {
                             rank_group *const located = groupWithSwitch(key, version);
                             if (located == nullptr) {
                                 return;
                             }
                             located->stepRequested = false;
                             if (!report || !leads(boot_clock::now())) {
                                 return; // Requested again at the next tick.
                             }
                             if (report.value().epoch != located->epoch) {
                                 located->mapSwitch->onNewEpoch();
                                 return;
                             }
                             located->mapSwitch->onStep(report.value().step, located->meanStepTime(boot_clock::now()));
                             located->checkedAt = boot_clock::now();
                             advanceSwitch(*located, boot_clock::now());
                         });
}

void map_coordinator::finishSwitch(rank_group &group, time_point now)
{
    const bool done = group.mapSwitch->phase() == switch_phase::done;
    const time_point heldSince = group.mapSwitch->heldSince();
    const auto heldTime = heldSince == time_point {} ? boot_clock::duration {} : now - heldSince;
    logLine(
        log_level::info, "coordinator", done ? "expert map switch completed" : "expert map switch aborted",
        {{"group", group.name},
         {"epoch", group.epoch},
         {"version", group.mapSwitch->version()},
         {"step", group.mapSwitch->step()},
         {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - group.mapSwitch->startedAt()).count()},
         {"held_ms", std::chrono::duration_cast<std::chrono::milliseconds>(heldTime).count()}});
    if (done) {
        group.switchStep = group.mapSwitch->step();
    }
    if (done && group.pendingMap) {
        group.map = std::move(group.pendingMap);
        group.version = group.mapSwitch->version();
    } else if (done) {
        group.map.reset(); // After a resumed switch, the map is read with the next report.
    }
    group.pendingMap.reset();
    group.mapSwitch.reset();
    group.schedule.onEnded(now);
}

} // namespace bronzechute
