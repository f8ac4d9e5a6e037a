#include "gateway/map_coordinator.h"

#include "expert_map/map_change.h"
#include "observe/log.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds tickInterval {20};
constexpr std::chrono::milliseconds idleInterval {100};
constexpr std::chrono::milliseconds countsInterval {200};
// After a shift, a short sample shows the new demand alone.
constexpr std::chrono::milliseconds shiftedInterval {100};
constexpr std::chrono::milliseconds discoverInterval {500};
// A report is some hundred ms old when it is read; asking more often tells little more.
constexpr std::chrono::milliseconds monitorInterval {500};
constexpr std::chrono::milliseconds closedInterval {150};
// Demand that was known when a group broke is most probably the same for this long.
constexpr std::chrono::seconds demandLifetime {10};
constexpr std::chrono::milliseconds shortestPause {600};
constexpr std::chrono::milliseconds heldPatience {700};
constexpr std::chrono::milliseconds switchCheckInterval {300};
// Counts that cover a longer time mix demand from before a shift with that after it.
constexpr std::chrono::milliseconds longestSample {1000};
// Versions of one term; those of a later one are higher, because terms are revisions of the store.
constexpr std::int64_t versionsPerTerm = 10000;
// Share of the longest accepted pause between events from which on a group is worth speeding up.
constexpr double slowShare = 0.62;
constexpr double usualGapTargetMs = 100;

} // namespace

map_coordinator::map_coordinator(boost::asio::io_context &loop, endpoint_table &endpoints, rank_engine_client &engines,
                                 const coordinator_term &leadership)
    : m_timer(loop), m_endpoints(endpoints), m_engines(engines), m_leadership(leadership)
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
    return std::ranges::any_of(m_groups, [](const auto &entry) { return entry.second.change.has_value(); });
}

std::vector<group_state> map_coordinator::groupStates() const
{
    std::vector<group_state> states;
    if (m_term == 0) {
        return states;
    }
    for (const auto &[key, group] : m_groups) {
        group_state state {key, group.open, {}};
        for (std::size_t rank = 0; rank < group.ranks.size(); ++rank) {
            if (const gateway_endpoint_ptr endpoint = group.listedRank(rank)) {
                state.endpoints.push_back(endpoint->record.id);
            }
        }
        states.push_back(std::move(state));
    }
    return states;
}

void map_coordinator::setGroupsListener(std::function<void()> onGroups)
{
    m_onGroups = std::move(onGroups);
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
    m_timer.expires_after(m_term == 0 ? idleInterval : tickInterval);
    m_timer.async_wait([this](const boost::system::error_code &code) {
        if (!code) {
            tick();
            schedule();
        }
    });
}

void map_coordinator::tick()
{
    const time_point now = boot_clock::now();
    adoptTerm(m_leadership.term(now), now);
    for (auto &[key, group] : m_groups) {
        if (group.change) {
            drive(group, now);
        }
    }
    if (m_term == 0) {
        return;
    }
    discover(now);
    for (auto &[service, state] : m_services) {
        readDemand(service, state, now);
    }
    for (auto &[key, group] : m_groups) {
        if (!group.change && !m_stopping) {
            decide(group, m_services[group.service], now);
        }
    }
}

void map_coordinator::adoptTerm(std::int64_t term, time_point now)
{
    if (term == m_term) {
        return;
    }
    m_term = term;
    m_versions = 0;
    m_services.clear();
    m_groupOfEndpoint.clear();
    m_discoverAt = now;
    // A group that may be held is not left behind: its switch only goes forward, whoever else does the same.
    std::erase_if(m_groups, [](const auto &entry) {
        const rank_group &group = entry.second;
        return !group.change || !group.change->mayHold();
    });
}

void map_coordinator::discover(time_point now)
{
    for (auto &[key, group] : m_groups) {
        monitor(group, now);
    }
    if (now < m_discoverAt) {
        return;
    }
    m_discoverAt = now + discoverInterval;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (profileOf(endpoint->record.service) != nullptr && endpoint->listed && !m_groupOfEndpoint.contains(id)) {
            askReport(endpoint, {});
        }
    }
}

void map_coordinator::monitor(rank_group &group, time_point now)
{
    if (now - group.askedAt < (group.open ? monitorInterval : closedInterval)) {
        return;
    }
    group.askedAt = now;
    for (std::size_t tries = 0; tries < group.ranks.size(); ++tries) {
        if (const gateway_endpoint_ptr rank = group.listedRank(group.asked)) {
            askReport(rank, [this, key = groupKey(group.service, group.name)] {
                const auto found = m_groups.find(key);
                if (found != m_groups.end()) {
                    found->second.asked = (found->second.asked + 1) % found->second.ranks.size();
                    found->second.askedAt = {};
                }
            });
            return;
        }
        group.asked = (group.asked + 1) % group.ranks.size();
    }
}

void map_coordinator::askReport(const gateway_endpoint_ptr &endpoint, std::function<void()> onFailure)
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
    m_services.try_emplace(group.service);
    group.ranks.resize(std::max(group.ranks.size(), report.ranks));
    if (group.ranks[report.rank] != endpoint) {
        group.ranks[report.rank] = endpoint;
    }
    if (report.open) {
        group.asked = group_switch::holdingRank; // Its report shows a hold that was left behind.
    }
    const bool changed = group.open != report.open || !m_groupOfEndpoint.contains(endpoint->record.id);
    group.open = report.open;
    m_groupOfEndpoint[endpoint->record.id] = key;
    if (changed && m_onGroups) {
        m_onGroups();
    }
    if (report.epoch > group.epoch || (report.open && !group.map && group.expertsToRead == 0)) {
        adoptEpoch(group, report);
    }
    if (report.epoch == group.epoch && report.held && !group.change && group.complete()) {
        resumeHeld(group, report);
    }
}

void map_coordinator::adoptEpoch(rank_group &group, const rank_report &report)
{
    if (report.epoch > group.epoch) {
        logLine(log_level::info, "coordinator", "rank group formed",
                {{"group", group.name}, {"epoch", report.epoch}, {"before", group.epoch}, {"map", report.map}});
        group.epoch = report.epoch;
        group.change.reset();
        group.next.reset();
        group.map.reset();
        group.expertsToRead = 0;
        group.formedAgain = report.map == 0;
    }
    const engine_profile *profile = profileOf(group.service);
    if (!report.open || profile == nullptr || report.epoch != group.epoch) {
        return;
    }
    group.version = report.map;
    if (report.map == 0) {
        group.map = dealtMap(profile->expertLayers, profile->expertsPerLayer, report.ranks);
    } else if (group.complete()) {
        readMap(group);
    }
}

void map_coordinator::readMap(rank_group &group)
{
    const engine_profile *profile = profileOf(group.service);
    group.next = expert_map {profile->expertLayers, profile->expertsPerLayer, group.ranks.size(), {}};
    group.next->copies.resize(profile->expertLayers * profile->expertsPerLayer);
    group.expertsToRead = group.ranks.size();
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
    if (group.epoch != epoch || group.expertsToRead == 0 || !group.next) {
        return;
    }
    --group.expertsToRead;
    expert_map &map = *group.next;
    const bool fits =
        experts && experts.value().version == group.version && experts.value().byLayer.size() == map.layers;
    if (!fits) {
        group.next.reset(); // The map is read again with the next report.
        group.expertsToRead = 0;
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
    if (group.expertsToRead > 0) {
        return;
    }
    const bool whole = std::ranges::none_of(map.copies, [](const auto &copies) { return copies.empty(); });
    if (whole) {
        group.map = std::move(group.next);
    }
    group.next.reset();
}

void map_coordinator::resumeHeld(rank_group &group, const rank_report &report)
{
    const time_point now = boot_clock::now();
    if (group.heldStep != *report.held) {
        group.heldStep = *report.held;
        group.heldSeenAt = now;
    }
    // Reports are some hundred ms old: a hold that was released since is still in the first of them.
    if (now - group.heldSeenAt < heldPatience || report.step >= *report.held) {
        return;
    }
    const std::int64_t version = report.armed.value_or(report.prepared.value_or(0));
    logLine(log_level::warn, "coordinator", "rank group is held by a switch that was left behind",
            {{"group", group.name}, {"epoch", group.epoch}, {"step", *report.held}, {"version", version}});
    group.heldSeenAt = now;
    if (version == 0) {
        return; // The holding rank has not finished its loads; the next report shows the version.
    }
    group.map.reset();
    group.change = group_switch::resume(group.epoch, version, group.ranks.size(), *report.held, boot_clock::now());
}

void map_coordinator::readDemand(const std::string &service, service_state &state, time_point now)
{
    const engine_profile *profile = profileOf(service);
    if (profile == nullptr || state.countsAsked || now < state.countsDue || !anySlow(service)) {
        return;
    }
    const bool restarts = now - state.countsReadAt > longestSample;
    if (restarts) {
        state.demand.restart();
    }
    state.countsReadAt = now;
    gateway_endpoint_ptr source;
    for (const gateway_endpoint_ptr &endpoint : m_endpoints.endpointsOf(service)) {
        const endpoint_view view = m_endpoints.viewOf(*endpoint, {}, now);
        if (!view.usable || view.suspect || !m_groupOfEndpoint.contains(endpoint->record.id)) {
            continue;
        }
        if (source == nullptr || endpoint->record.id == state.source) {
            source = endpoint;
        }
    }
    if (source == nullptr) {
        return;
    }
    state.source = source->record.id;
    state.countsAsked = true;
    m_engines.readCounts(
        source, profile->expertLayers,
        [this, service, restarts, id = source->record.id, term = m_term](const result<rank_counts> &counts) {
            if (term != m_term || m_term == 0) {
                return;
            }
            service_state &asked = m_services[service];
            asked.countsAsked = false;
            auto next = restarts ? shiftedInterval : countsInterval;
            if (!counts) {
                asked.source.clear();
            } else if (asked.demand.record(id, counts.value()) == demand_tracker::change::shifted) {
                logLine(log_level::info, "coordinator", "demand for experts has shifted",
                        {{"service", service}, {"endpoint", id}, {"step", counts.value().step}});
                next = shiftedInterval;
                asked.shiftedAt = boot_clock::now();
            }
            if (asked.demand.demand()) {
                asked.known = asked.demand.demand();
                asked.knownAt = boot_clock::now();
            }
            asked.countsDue = boot_clock::now() + next;
        });
}

void map_coordinator::decide(rank_group &group, const service_state &state, time_point now)
{
    const bool knowsDemand = state.demand.demand().has_value();
    // A group that has formed again has the first map, which does not suit the demand before the break either.
    const bool again = group.formedAgain && state.known && now - state.knownAt < demandLifetime;
    const engine_profile *profile = profileOf(group.service);
    if (!group.map || !(knowsDemand || again) || profile == nullptr || !group.complete() || !group.open) {
        return;
    }
    // Every pass with the map of before the shift may make all streams of the group late.
    const bool shifted = knowsDemand && state.shiftedAt > group.changedAt;
    if (!again && !shifted && (now - group.changedAt < shortestPause || !slow(group))) {
        return;
    }
    group.formedAgain = false;
    const load_matrix &demand = knowsDemand ? *state.demand.demand() : *state.known;
    std::optional<map_change> change = planMapChange(*group.map, demand, *profile);
    group.changedAt = now;
    if (!change) {
        return;
    }
    const std::int64_t version = m_term * versionsPerTerm + ++m_versions;
    logLine(log_level::info, "coordinator", "expert map begins to change",
            {{"group", group.name},
             {"epoch", group.epoch},
             {"version", version},
             {"loads", change->loads},
             {"copy_ms", std::chrono::duration<double, std::milli>(change->copyTime).count()},
             {"skew_before", change->skewBefore},
             {"skew_after", change->skewAfter}});
    group.next = std::move(change->map);
    group.stepAsked = false;
    group.change.emplace(group.epoch, version, group.ranks.size(), change->copyTime, now);
}

bool map_coordinator::anySlow(const std::string &service) const
{
    return std::ranges::any_of(m_groups, [&](const auto &entry) {
        const rank_group &group = entry.second;
        return group.service == service && group.complete() && slow(group);
    });
}

bool map_coordinator::slow(const rank_group &group) const
{
    const auto declared = m_table->gapTargetOf(group.service).count();
    const double target = declared == 0 ? usualGapTargetMs : static_cast<double>(declared);
    double sum = 0;
    for (const gateway_endpoint_ptr &rank : group.ranks) {
        sum += rank->longestGapMs;
    }
    return sum / static_cast<double>(group.ranks.size()) > slowShare * target;
}

rank_group *map_coordinator::groupInSwitch(const std::string &key, std::int64_t version)
{
    const auto found = m_groups.find(key);
    const bool same = found != m_groups.end() && found->second.change && found->second.change->version() == version;
    return same ? &found->second : nullptr;
}

void map_coordinator::drive(rank_group &group, time_point now)
{
    static const expert_map none;
    const std::string key = groupKey(group.service, group.name);
    for (const addressed_order &order : group.change->due(now)) {
        m_engines.send(group.ranks[order.rank], order.order, group.next ? *group.next : none,
                       [this, key, order, version = group.change->version()](order_outcome outcome) {
                           rank_group *const ordered = groupInSwitch(key, version);
                           if (ordered == nullptr) {
                               return;
                           }
                           ordered->change->onOutcome(order, outcome, boot_clock::now());
                           if (outcome != order_outcome::accepted) {
                               logLine(log_level::info, "coordinator", "order was not accepted",
                                       {{"group", ordered->name},
                                        {"rank", order.rank},
                                        {"order", nameOf(order.order.kind)},
                                        {"version", version},
                                        {"step", order.order.step},
                                        {"outcome", outcome == order_outcome::rejected ? "rejected" : "unknown"}});
                           }
                           drive(*ordered, boot_clock::now());
                       });
    }
    if (!group.change) {
        return; // Ended by an outcome that arrived at once.
    }
    if (group.change->phase() == switch_phase::locating && !group.stepAsked) {
        locate(group);
    }
    if (group.change->phase() == switch_phase::arming && now - group.change->heldSince() > switchCheckInterval) {
        check(group, now);
    }
    if (group.change->ended()) {
        finish(group, now);
    }
}

void map_coordinator::check(rank_group &group, time_point now)
{
    if (now - group.checkedAt < switchCheckInterval) {
        return;
    }
    group.checkedAt = now;
    const std::string key = groupKey(group.service, group.name);
    m_engines.readReport(group.ranks[group_switch::holdingRank],
                         [this, key, version = group.change->version()](const result<rank_report> &report) {
                             rank_group *const checked = groupInSwitch(key, version);
                             if (!report || checked == nullptr) {
                                 return;
                             }
                             if (report.value().epoch != checked->epoch) {
                                 checked->change->onNewEpoch();
                             } else if (report.value().step >= checked->change->step()) {
                                 checked->change->onStepBegun();
                             }
                         });
}

void map_coordinator::locate(rank_group &group)
{
    group.stepAsked = true;
    const std::string key = groupKey(group.service, group.name);
    m_engines.readReport(group.ranks[group_switch::holdingRank],
                         [this, key, version = group.change->version()](const result<rank_report> &report) {
                             rank_group *const located = groupInSwitch(key, version);
                             if (located == nullptr) {
                                 return;
                             }
                             located->stepAsked = false;
                             if (!report) {
                                 return; // Asked again with the next tick.
                             }
                             if (report.value().epoch != located->epoch) {
                                 located->change->onNewEpoch();
                                 return;
                             }
                             located->change->onStep(report.value().step);
                             drive(*located, boot_clock::now());
                         });
}

void map_coordinator::finish(rank_group &group, time_point now)
{
    const bool done = group.change->phase() == switch_phase::done;
    logLine(
        log_level::info, "coordinator", done ? "expert map changes" : "change of the expert map given up",
        {{"group", group.name},
         {"epoch", group.epoch},
         {"version", group.change->version()},
         {"step", group.change->step()},
         {"held_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - group.change->heldSince()).count()}});
    if (done && group.next) {
        group.map = std::move(group.next);
        group.version = group.change->version();
    } else if (done) {
        group.map.reset(); // Of a resumed switch: the map is read with the next report.
    }
    group.next.reset();
    group.change.reset();
    group.changedAt = now;
}

} // namespace bronzechute
