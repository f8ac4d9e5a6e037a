#include "map_replay.h"

#include "expert_map/placement_planner.h"

#include <algorithm>
#include <random>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr auto tick = 5ms;
constexpr auto coordinatorTick = 20ms;
constexpr auto reportAge = 200ms;
constexpr auto readTimeout = 500ms;
constexpr auto faultTime = 4s;
constexpr auto takeOverTime = 3s;
constexpr auto heldGroupTimeout = 400ms;
constexpr auto acceptedPause = 150ms;
constexpr double slowShare = 0.62;
// Duration of a pass of a group whose ranks all have the same load, and the experts' share of it.
constexpr std::chrono::duration<double, std::milli> evenPassTime {75};
constexpr double expertShare = 0.85;
constexpr std::size_t silentRank = 0;

} // namespace

map_replay::map_replay(const demand_shape &shape, const engine_profile &profile, replay_fault fault, std::uint64_t seed)
    : m_shape(shape), m_profile(profile), m_fault(fault), m_demand(shape, seed), m_engines(shape.ranks)
{
    m_maps[0] = roundRobinMap(shape.layers, shape.experts, shape.ranks);
}

double map_replay::skew() const
{
    return loadSkew(m_maps.at(m_engines.front().map), m_demand.demand(), std::vector<double>(m_shape.ranks, 1.0));
}

double map_replay::bestSkew() const
{
    const std::vector<double> speeds(m_shape.ranks, 1.0);
    const load_matrix demand = m_demand.demand();
    planner_limits limits;
    limits.slots = m_profile.expertSlots;
    limits.maxLoads = 1'000'000;
    limits.maxLoadsPerRank = 1'000'000;
    limits.maxLoadsPerRankAndLayer = m_profile.spareExpertSlots;
    limits.minGainPerLoad = 1e-6;
    limits.storeBytesPerSecond = 1;
    std::mt19937_64 random(1);
    std::lognormal_distribution<double> disturbance(0.0, 0.02);
    double best = 1e9;
    for (int attempt = 0; attempt < 3; ++attempt) {
        load_matrix disturbed = demand; // Leads the search to another local optimum.
        for (double &tokens : disturbed.tokens) {
            tokens *= attempt == 0 ? 1.0 : disturbance(random);
        }
        const placement_plan plan = planPlacement(m_maps.at(m_engines.front().map), disturbed, speeds, limits);
        best = std::min(best, loadSkew(plan.map, demand, speeds));
    }
    return best;
}

void map_replay::shift()
{
    m_demand.shift();
}

bool map_replay::inFault() const
{
    return m_faultFrom != time_point {} && m_now - m_faultFrom < faultTime;
}

void map_replay::run(boot_clock::duration time)
{
    for (const time_point end = m_now + time; m_now < end; m_now += tick) {
        if (m_now >= m_passEndsAt && !(m_held && m_step + 1 >= *m_held)) {
            beginPass();
        }
        if (m_now.time_since_epoch() % coordinatorTick == 0ms) {
            coordinate();
        }
        if (m_faultFrom != time_point {} && !inFault() && !faultEnded) {
            faultEnded = true;
        }
    }
}

void map_replay::beginPass()
{
    m_lastPassTime = m_passTime; // Callers see a pass when it ends.
    ++m_step;
    m_steps[m_now] = m_step;
    std::set<std::int64_t> maps;
    bool copying = false;
    for (engine &each : m_engines) {
        if (each.armedStep == m_step) {
            each.map = each.armedVersion;
            each.armedStep = 0;
        }
        maps.insert(each.map);
        copying = copying || each.copiedAt > m_now;
    }
    if (maps.size() > 1) {
        violation = "two maps in step " + std::to_string(m_step);
    }
    m_demand.pass();
    const auto length = evenPassTime * (1 - expertShare + expertShare * skew()) * (copying ? 1.15 : 1.0);
    m_passTime = std::chrono::duration_cast<boot_clock::duration>(length);
    m_passEndsAt = m_now + m_passTime;
}

bool map_replay::apply(const addressed_command &command)
{
    engine &target = m_engines[command.rank];
    const rank_command &order = command.order;
    if (order.epoch != m_epoch) {
        return false;
    }
    switch (order.kind) {
    case rank_command_kind::prepare:
        if (order.version == target.prepared) {
            return true;
        }
        if (order.version < target.prepared || target.armedStep != 0) {
            return false;
        }
        target.prepared = order.version;
        target.copiedAt = m_now
            + std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(
                m_profile.expertCopyMs
                * static_cast<double>(loadsPerRank(m_maps.at(target.map), m_maps.at(order.version))[command.rank])));
        return true;
    case rank_command_kind::hold:
        if (m_held == order.step) {
            return true;
        }
        if (m_held || order.step <= m_step) {
            return false;
        }
        m_held = order.step;
        m_heldSince = m_now;
        return true;
    case rank_command_kind::arm:
        if (target.armedStep == order.step && target.armedVersion == order.version) {
            return true;
        }
        if (target.armedStep != 0 || target.prepared != order.version || target.copiedAt > m_now
            || order.step <= m_step) {
            return false;
        }
        target.armedStep = order.step;
        target.armedVersion = order.version;
        return true;
    case rank_command_kind::release:
        if (m_held != order.step) {
            return false;
        }
        m_held.reset();
        return true;
    }
    return false;
}

void map_replay::takeOver()
{
    m_sampler = {};
    m_schedule = {};
    m_switch.reset();
    if (m_held && m_now - m_heldSince > heldGroupTimeout) {
        m_switch = group_switch::resume(m_epoch, m_engines.front().prepared, m_shape.ranks, *m_held, m_now);
    }
}

void map_replay::coordinate()
{
    // Within a tick, the coordinator would arm all ranks; the fault comes between the hold and the first of them.
    const bool begins = m_switch && m_switch->phase() >= switch_phase::copying;
    if (m_fault > replay_fault::silent_rank && m_faultFrom == time_point {} && begins) {
        m_faultFrom = m_now;
        if (m_fault == replay_fault::formed_anew) {
            ++m_epoch;
            m_engines.assign(m_shape.ranks, {});
            m_held.reset();
            m_switch->onNewEpoch();
        }
    }
    if (inFault() && m_fault == replay_fault::coordinator_frozen) {
        return;
    }
    if (inFault() && m_fault == replay_fault::coordinator_killed) {
        if (m_now - m_faultFrom < takeOverTime) {
            return;
        }
        if (m_now - m_faultFrom < takeOverTime + coordinatorTick) {
            takeOver();
        }
    }
    std::vector<std::string> names;
    for (std::size_t rank = 0; rank < m_shape.ranks; ++rank) {
        names.push_back(std::to_string(rank));
    }
    while (!m_failures.empty() && m_failures.begin()->first <= m_now) {
        m_sampler.onFailure(m_failures.begin()->second);
        m_failures.erase(m_failures.begin());
    }
    m_stepTimes.update(m_lastPassTime);
    const bool slow = m_lastPassTime > acceptedPause * slowShare;
    if (slow || m_engines.front().map == 0) {
        for (const std::string &name : m_sampler.due(names, m_stepTimes.hasSlowed(), m_now)) {
            ++readings;
            const std::size_t rank = std::stoul(name);
            if (m_fault == replay_fault::silent_rank && rank == silentRank) {
                m_failures.emplace(m_now + readTimeout, name);
            } else {
                m_sampler.record(name, {m_epoch, m_step, m_demand.counts(rank)}, m_now);
            }
        }
    }
    if (m_switch) {
        advance();
    }
    const bool mayBegin = !(inFault() && m_fault == replay_fault::lease_lost);
    const load_matrix *known = m_sampler.demand(m_now);
    const switch_occasion occasion {known != nullptr, false, m_engines.front().map == 0, slow, m_sampler.changedAt()};
    if (mayBegin && !m_switch && m_step >= m_switchStep && m_schedule.isDue(occasion, m_now)) {
        plan(m_now);
    }
}

void map_replay::plan(time_point now)
{
    const std::vector<double> speeds(m_shape.ranks, 1.0);
    const auto change = planMapChange(m_maps.at(m_engines.front().map), *m_sampler.demand(now), speeds, m_profile);
    m_schedule.onPlanned(change.has_value(), now);
    if (change) {
        m_maps[++m_version] = change->map;
        m_switch.emplace(m_epoch, m_version, m_shape.ranks, change->copyTime, now);
        m_switch->setCopyTimes(change->copyTimes);
    }
}

void map_replay::advance()
{
    // An outcome is followed by the next commands at once; commands and reports take a few ms.
    for (bool waiting = false; !waiting && !m_switch->ended();) {
        const auto commands = m_switch->due(m_now);
        for (const addressed_command &command : commands) {
            const bool accepted = apply(command);
            const bool lost = inFault() && m_fault == replay_fault::answers_lost;
            m_switch->onOutcome(command,
                                lost           ? command_outcome::unknown
                                    : accepted ? command_outcome::accepted
                                               : command_outcome::rejected,
                                m_now);
        }
        const bool reads = m_switch->phase() == switch_phase::reading_step;
        if (reads) {
            const auto known = m_steps.upper_bound(m_now - reportAge);
            m_switch->onStep(known == m_steps.begin() ? 0 : std::prev(known)->second, m_lastPassTime);
        }
        waiting = commands.empty() && !reads;
    }
    if (m_switch->ended()) {
        if (m_switch->phase() == switch_phase::done) {
            m_switchStep = m_switch->step();
            ++switches;
        }
        m_switch.reset();
        m_schedule.onEnded(m_now);
    }
}

} // namespace bronzechute
