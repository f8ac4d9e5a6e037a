#include "expert_map/group_switch.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Steps between the last known one and the switch: the orders of a switch take a few ms, a step some tens of ms.
constexpr std::int64_t firstMargin = 6;
constexpr std::int64_t largestMargin = 96;
constexpr std::chrono::milliseconds retryInterval {40};
// Loads that have not even begun after this time are given up.
constexpr std::chrono::seconds longestPrepare {3};

} // namespace

group_switch::group_switch(std::int64_t epoch, std::int64_t version, std::size_t ranks, boot_clock::duration copyTime,
                           time_point now)
    : m_epoch(epoch), m_version(version), m_copyTime(copyTime), m_startedAt(now), m_margin(firstMargin), m_ranks(ranks)
{
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

std::vector<addressed_order> group_switch::due(time_point now)
{
    std::vector<addressed_order> orders;
    if (m_phase == switch_phase::preparing && now - m_startedAt > longestPrepare) {
        enter(switch_phase::abandoned);
    }
    if (m_phase == switch_phase::copying && now >= m_copiedAt) {
        enter(switch_phase::locating);
    }
    if (m_phase == switch_phase::preparing || m_phase == switch_phase::arming) {
        const auto kind = m_phase == switch_phase::preparing ? rank_order_kind::prepare : rank_order_kind::arm;
        for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
            addDue(orders, rank, kind, now);
        }
    } else if (m_phase == switch_phase::holding) {
        addDue(orders, holdingRank, rank_order_kind::hold, now);
    } else if (m_phase == switch_phase::releasing) {
        addDue(orders, holdingRank, rank_order_kind::release, now);
    }
    return orders;
}

void group_switch::addDue(std::vector<addressed_order> &orders, std::size_t rank, rank_order_kind kind, time_point now)
{
    rank_progress &progress = m_ranks[rank];
    if (progress.underWay || progress.confirmed || now < progress.retryAt) {
        return;
    }
    progress.underWay = true;
    orders.push_back({rank, {kind, m_epoch, m_version, m_step}});
}

void group_switch::onOutcome(const addressed_order &sent, order_outcome outcome, time_point now)
{
    static constexpr auto kindOf = [](switch_phase phase) {
        switch (phase) {
        case switch_phase::preparing:
            return rank_order_kind::prepare;
        case switch_phase::holding:
            return rank_order_kind::hold;
        case switch_phase::arming:
            return rank_order_kind::arm;
        default:
            return rank_order_kind::release;
        }
    };
    const bool current = sent.order.kind == kindOf(m_phase) && (m_step == sent.order.step || sent.order.step == 0);
    if (!current || ended()) {
        return;
    }
    rank_progress &progress = m_ranks[sent.rank];
    progress.underWay = false;
    if (outcome == order_outcome::unknown) {
        progress.retryAt = now; // A copy does no harm, and the loss of an order must not hold the group up.
        return;
    }
    if (outcome == order_outcome::rejected) {
        onRejected(sent.rank, now);
        return;
    }
    progress.confirmed = true;
    if (m_phase == switch_phase::holding) {
        m_heldSince = now;
        enter(switch_phase::arming);
    } else if (m_phase == switch_phase::releasing) {
        enter(switch_phase::done);
    } else if (allConfirmed()) {
        if (m_phase == switch_phase::preparing) {
            m_copiedAt = now + m_copyTime;
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
        // The step has begun: a later one is tried.
        m_margin *= 2;
        enter(m_margin > largestMargin ? switch_phase::abandoned : switch_phase::locating);
    } else if (m_phase == switch_phase::arming) {
        m_ranks[rank].retryAt = now + retryInterval; // Its loads have not ended yet.
    } else {
        enter(switch_phase::done); // The step has begun, so another coordinator has released the group.
    }
}

void group_switch::onStep(std::int64_t step)
{
    if (m_phase == switch_phase::locating) {
        enter(switch_phase::holding);
        m_step = step + m_margin;
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
