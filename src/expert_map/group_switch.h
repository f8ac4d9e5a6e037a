#pragma once

#include "base/boot_clock.h"
#include "expert_map/expert_map.h"
#include "expert_map/rank_order.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzechute {

enum class switch_phase : std::uint8_t {
    preparing, ///< Every rank is told to load the new map.
    copying, ///< The ranks load; the switch waits for the expected time.
    locating, ///< The group's current step has to be read.
    holding, ///< The group is kept from beginning the step of the switch.
    arming, ///< Every rank is told to use the map from that step on.
    releasing, ///< All ranks are armed; the group may begin the step.
    done,
    abandoned, ///< Given up while nothing was held or armed.
};

/** An order and the rank that it is for. */
struct addressed_order
{
    std::size_t rank = 0;
    rank_order order;

    friend bool operator==(const addressed_order &, const addressed_order &) = default;
};

/**
 * Changes the expert map of one rank group so that no step begins with two maps, whatever orders are lost, late or
 * repeated.
 *
 * The group is held before the step S before the first rank is armed for S, and released only after every rank has
 * confirmed that it is armed. From the hold on the switch only goes forward: an arm that comes late finds its rank
 * armed or the step begun, and changes nothing. A group that forms anew drops everything, and orders that name its
 * earlier epoch are refused.
 */
class group_switch
{
public:
    /** Begins with prepare. @param copyTime that the slowest rank needs to load its new experts */
    group_switch(std::int64_t epoch, std::int64_t version, std::size_t ranks, boot_clock::duration copyTime,
                 time_point now);

    /** Takes over a switch that another coordinator left behind with the group held before the step. */
    static group_switch resume(std::int64_t epoch, std::int64_t version, std::size_t ranks, std::int64_t step,
                               time_point now);

    /** @returns the orders to send now; each counts as under way until its outcome is reported. */
    std::vector<addressed_order> due(time_point now);

    void onOutcome(const addressed_order &sent, order_outcome outcome, time_point now);

    /** @param step the last one that the group has begun, as read while the switch was locating */
    void onStep(std::int64_t step);

    /** The group was seen to have begun the step of the switch, so that all its ranks use one map already. */
    void onStepBegun();

    /** The group has formed anew, which ended everything that the switch had begun. */
    void onNewEpoch();

    switch_phase phase() const
    {
        return m_phase;
    }

    bool ended() const
    {
        return m_phase == switch_phase::done || m_phase == switch_phase::abandoned;
    }

    /** @returns whether the group may be kept from beginning a step by this switch. */
    bool mayHold() const
    {
        return m_phase == switch_phase::holding || m_phase == switch_phase::arming
            || m_phase == switch_phase::releasing;
    }

    std::int64_t version() const
    {
        return m_version;
    }

    std::int64_t step() const
    {
        return m_step;
    }

    /** @returns since when the group has been kept from beginning a step. */
    time_point heldSince() const
    {
        return m_heldSince;
    }

    /** The rank whose engine holds the group; one for all coordinators, so that each finds a hold. */
    static constexpr std::size_t holdingRank = 0;

private:
    struct rank_progress
    {
        bool underWay = false;
        bool confirmed = false; ///< Of the phase under way.
        time_point retryAt {};
    };

    void enter(switch_phase phase);
    bool allConfirmed() const;
    void addDue(std::vector<addressed_order> &orders, std::size_t rank, rank_order_kind kind, time_point now);
    void onRejected(std::size_t rank, time_point now);

    std::int64_t m_epoch;
    std::int64_t m_version;
    boot_clock::duration m_copyTime;
    time_point m_startedAt;
    time_point m_copiedAt {};
    time_point m_heldSince {};
    switch_phase m_phase = switch_phase::preparing;
    std::int64_t m_step = 0;
    std::int64_t m_margin;
    std::vector<rank_progress> m_ranks;
};

} // namespace bronzechute
