#pragma once

#include "base/boot_clock.h"
#include "expert_map/expert_map.h"
#include "expert_map/rank_command.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzechute {

enum class switch_phase : std::uint8_t {
    preparing, ///< `prepare` is sent to every rank: load the new map.
    copying, ///< The ranks load their new experts; the switch waits for the expected duration.
    reading_step, ///< The caller has to read the group's current step and pass it to onStep().
    holding, ///< `hold` is sent: the group must not begin the switch step.
    arming, ///< `arm` is sent to every rank: use the new map from the switch step on.
    releasing, ///< All ranks are armed; `release` is sent, which lets the group begin the switch step.
    done,
    abandoned, ///< Ended without a map change, while no rank was held or armed or because the group formed again.
};

/** A command with its target rank. */
struct addressed_command
{
    std::size_t rank = 0;
    rank_command order;

    friend bool operator==(const addressed_command &, const addressed_command &) = default;
};

/**
 * State machine that changes the expert map of one rank group. All ranks use the same map in each step, even if
 * commands are lost, delayed or duplicated.
 *
 * The group is held before step S before the first rank is armed for S, and released only after every rank has
 * confirmed that it is armed. Once the hold is confirmed, the switch cannot be abandoned: a late `arm` has no effect
 * because its rank is already armed or the step has begun. A group that forms again (a new epoch) drops all state of
 * the switch, and its engines refuse commands of an earlier epoch.
 */
class group_switch
{
public:
    /**
     * Starts a switch in the phase `preparing`.
     * @param copyTime time that the slowest rank needs to load its new experts
     */
    group_switch(std::int64_t epoch, std::int64_t version, std::size_t ranks, boot_clock::duration copyTime,
                 time_point now);

    /**
     * Sets how long each rank loads, by rank. Ranks that load longer get their commands first, and the switch does not
     * wait for the last command and the longest copy one after the other. Must be called before due().
     */
    void setCopyTimes(std::vector<boot_clock::duration> copyTimes);

    /** Continues a switch of a previous coordinator that left the group held before `step`. */
    static group_switch resume(std::int64_t epoch, std::int64_t version, std::size_t ranks, std::int64_t step,
                               time_point now);

    /** @returns the commands to send now; each is in flight until its outcome is passed to onOutcome(). */
    std::vector<addressed_command> due(time_point now);

    void onOutcome(const addressed_command &sent, command_outcome outcome, time_point now);

    /**
     * Selects the switch step.
     * @param step the last step that the group has begun, as read during the phase `reading_step`
     * @param stepTime recent duration of a step; zero when unknown
     */
    void onStep(std::int64_t step, boot_clock::duration stepTime);

    /** The group has begun the switch step, so all its ranks use the new map. */
    void onStepBegun();

    /** The group has formed again, which discarded all state of the switch. */
    void onNewEpoch();

    switch_phase phase() const
    {
        return m_phase;
    }

    bool ended() const
    {
        return m_phase == switch_phase::done || m_phase == switch_phase::abandoned;
    }

    /** A hold was refused, and no other step may be tried, as this process is no longer the coordinator. */
    void abandonHold();

    /** @returns whether this switch may be holding the group. */
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

    time_point startedAt() const
    {
        return m_startedAt;
    }

    /** @returns the time at which this switch learned that the group is held; set from the phase `arming` on. */
    time_point heldSince() const
    {
        return m_heldSince;
    }

    /** The rank that receives `hold` and `release`; the same for all coordinators, so that each finds a hold. */
    static constexpr std::size_t holdingRank = 0;

private:
    struct rank_progress
    {
        bool inFlight = false;
        bool confirmed = false; ///< Whether the rank has accepted the command of the current phase.
        int lost = 0; ///< Commands of the current phase in a row whose outcome is unknown.
        time_point retryAt {};
    };

    void enter(switch_phase phase);
    bool allConfirmed() const;
    void addDue(std::vector<addressed_command> &commands, std::size_t rank, rank_command_kind kind, time_point now);
    void onRejected(std::size_t rank, time_point now);

    std::int64_t m_epoch;
    std::int64_t m_version;
    std::vector<boot_clock::duration> m_copyTimes; ///< By rank.
    std::vector<std::size_t> m_order; ///< Ranks in the order in which they get commands.
    time_point m_startedAt;
    time_point m_copyEndsAt {};
    time_point m_heldSince {};
    switch_phase m_phase = switch_phase::preparing;
    std::int64_t m_step = 0;
    int m_rejectedHolds = 0; ///< Times that the chosen step had already begun.
    std::vector<rank_progress> m_ranks;
};

} // namespace bronzechute
