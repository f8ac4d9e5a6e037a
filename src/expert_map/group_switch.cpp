#include "expert_map/group_switch.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace bronzechute {

namespace {

// Steps between the last known step and the switch step while the duration of a step is unknown.
constexpr std::int64_t defaultStepMargin = 6;
// Steps that begin within this time after the known one are not worth trying: reports are up to 200 ms old, and the
// commands take a few ms for each rank. Until the switch step the group computes with the old map, and the engine
// refuses a step that has begun, so that a step which is too early costs less than one which is too late.
constexpr std::chrono::milliseconds stepMarginTime {260};
// After so many refused steps in a row the step is read again: the group has gone on meanwhile.
constexpr int holdsPerReading = 4;
constexpr int maxRejectedHolds = 16;
constexpr std::chrono::milliseconds armRetryInterval {40};
// A command whose outcome is unknown is repeated after this time, doubled with each further one.
constexpr std::chrono::milliseconds minLostRetryInterval {5};
constexpr std::chrono::milliseconds maxLostRetryInterval {160};
constexpr int maxLostDoublings = 5;
// The switch is abandoned if not every rank has started to load within this time.
constexpr std::chrono::seconds switchPrepareTimeout {3};

std::int64_t stepMargin(boot_clock::duration stepTime)
{
    if (stepTime.count() <= 0) {
        return defaultStepMargin;
    }
    return stepMarginTime / stepTime + 1; // One more for the step in progress.
}

} // namespace

group_switch::group_switch(std::int64_t epoch, std::int64_t version, std::size_t ranks, boot_clock::duration copyTime,
                           time_point now)
    : m_epoch(epoch), m_version(version), m_copyTimes(ranks, copyTime), m_order(ranks), m_startedAt(now), m_ranks(ranks)
{
    std::iota(m_order.begin(), m_order.end(), std::size_t {0});
}

void group_switch::setCopyTimes(std::vector<boot_clock::duration> copyTimes)
{
    copyTimes.resize(m_ranks.size());
    m_copyTimes = std::move(copyTimes);
    std::ranges::stable_sort(m_order, std::ranges::greater {}, [this](std::size_t rank) { return m_copyTimes[rank]; });
}

group_switch group_switch::resume(std::int64_t epoch, std::int64_t version, std::size_t ranks, std::int64_t step,
                                  time_point now)
{
    group_switch resumed(epoch, version, ranks, {}, now);
    resumed.m_step = step;
    resumed.m_heldSince = now;
    resumed.enter(switch_phase::arming);
    return resumed;
}

void group_switch::enter(switch_phase phase)
{
    m_phase = phase;
    std::ranges::fill(m_ranks, rank_progress {});
}

bool group_switch::allConfirmed() const
{
    return std::ranges::all_of(m_ranks, &rank_progress::confirmed);
}

std::vector<addressed_command> group_switch::due(time_point now)
{
    std::vector<addressed_command> commands;
    if (m_phase == switch_phase::preparing && now - m_startedAt > switchPrepareTimeout) {
        enter(switch_phase::abandoned);
    }
    if (m_phase == switch_phase::copying && now >= m_copyEndsAt) {
        enter(switch_phase::reading_step);
    }
    if (m_phase == switch_phase::preparing || m_phase == switch_phase::arming) {
        const auto kind = m_phase == switch_phase::preparing ? rank_command_kind::prepare : rank_command_kind::arm;
        for (const std::size_t rank : m_order) {
            addDue(commands, rank, kind, now);
        }
    } else if (m_phase == switch_phase::holding) {
        addDue(commands, holdingRank, rank_command_kind::hold, now);
    } else if (m_phase == switch_phase::releasing) {
        addDue(commands, holdingRank, rank_command_kind::release, now);
    }
    return commands;
}

void group_switch::addDue(std::vector<addressed_command> &commands, std::size_t rank, rank_command_kind kind,
                          time_point now)
{
    rank_progress &progress = m_ranks[rank];
    if (progress.inFlight || progress.confirmed || now < progress.retryAt) {
        return;
    }
    progress.inFlight = true;
    commands.push_back({rank, {kind, m_epoch, m_version, m_step}});
}

void group_switch::onOutcome(const addressed_command &sent, command_outcome outcome, time_point now)
{
    static constexpr auto kindOf = [](switch_phase phase) {
        switch (phase) {
        case switch_phase::preparing:
            return rank_command_kind::prepare;
        case switch_phase::holding:
            return rank_command_kind::hold;
        case switch_phase::arming:
            return rank_command_kind::arm;
        default:
            return rank_command_kind::release;
        }
    };
    const bool current = sent.order.kind == kindOf(m_phase) && (m_step == sent.order.step || sent.order.step == 0);
    if (!current || ended()) {
        return;
    }
    rank_progress &progress = m_ranks[sent.rank];
    progress.inFlight = false;
    progress.lost = outcome == command_outcome::unknown ? progress.lost : 0;
    if (outcome == command_outcome::unknown) {
        // Commands are idempotent. A single lost one must hardly delay the group, and an engine that is down refuses
        // connections within a millisecond.
        progress.retryAt = now
            + std::min(minLostRetryInterval * (1 << std::min(progress.lost, maxLostDoublings)), maxLostRetryInterval);
        ++progress.lost;
        return;
    }
    if (outcome == command_outcome::rejected) {
        onRejected(sent.rank, now);
        return;
    }
    progress.confirmed = true;
    if (m_phase == switch_phase::preparing) {
        m_copyEndsAt = std::max(m_copyEndsAt, now + m_copyTimes[sent.rank]);
    }
    if (m_phase == switch_phase::holding) {
        m_heldSince = now;
        enter(switch_phase::arming);
    } else if (m_phase == switch_phase::releasing) {
        enter(switch_phase::done);
    } else if (allConfirmed()) {
        if (m_phase == switch_phase::preparing) {
            enter(switch_phase::copying);
        } else {
            enter(switch_phase::releasing);
        }
    }
}

void group_switch::onRejected(std::size_t rank, time_point now)
{
    if (m_phase == switch_phase::preparing) {
        enter(switch_phase::abandoned);
    } else if (m_phase == switch_phase::holding) {
        // The step has already begun: a later one is tried at once, further ahead the more were refused.
        ++m_rejectedHolds;
        m_step += std::int64_t {1} << (m_rejectedHolds / holdsPerReading);
        if (m_rejectedHolds >= maxRejectedHolds) {
            enter(switch_phase::abandoned);
        } else {
            enter(m_rejectedHolds % holdsPerReading == 0 ? switch_phase::reading_step : switch_phase::holding);
        }
    } else if (m_phase == switch_phase::arming) {
        m_ranks[rank].retryAt = now + armRetryInterval; // The rank is still copying.
    } else {
        enter(switch_phase::done); // The step has begun, so another coordinator has already released the group.
    }
}

void group_switch::abandonHold()
{
    if (m_phase == switch_phase::holding) {
        enter(switch_phase::abandoned);
    }
}

void group_switch::onStep(std::int64_t step, boot_clock::duration stepTime)
{
    if (m_phase == switch_phase::reading_step) {
        enter(switch_phase::holding);
        m_step = std::max(m_step, step + stepMargin(stepTime));
    }
}

void group_switch::onStepBegun()
{
    enter(switch_phase::done);
}

void group_switch::onNewEpoch()
{
    enter(switch_phase::abandoned);
}

} // namespace bronzechute
