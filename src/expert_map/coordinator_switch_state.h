#pragma once

#include "expert_map/switch_action.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzechute {

enum class coordinator_phase : std::uint8_t {
    idle, ///< No switch was requested.
    acquiring, ///< Reading the record and raising the fencing number.
    staging, ///< Waiting until every member has loaded the new map's weights.
    promising, ///< Waiting for every member's promise.
    committing, ///< The write that commits the map is outstanding, or its answer was lost.
    aborting, ///< The write that ends the attempt is outstanding, or its answer was lost.
    committed, ///< The record holds the new map; `commit` is sent again on each timeout until the caller stops.
    cancelled, ///< The switch was cancelled; the current map stays in use.
    superseded, ///< Another coordinator raised the fencing number.
};

/**
 * State machine of the coordinator in the map switching protocol, for one map change of one rank group.
 *
 * Safety depends only on the compare-and-swap of the decision record: a commit is conditional on the sequence number
 * that all promises name, and each takeover, join and abort changes that number. The coordinator lease only reduces
 * contention between coordinators.
 */
class coordinator_switch_state
{
public:
    /**
     * @param owner random identifier of this process; unique, not 0
     * @param margin steps between the latest known step and the promised one; doubled after a `too_late` refusal
     */
    coordinator_switch_state(std::uint64_t owner, std::uint64_t margin);

    /** Raises the fencing number, which ends any open attempt, and starts the switch to `target`. */
    switch_actions start(map_id target);

    /** Cancels a switch that is not decided yet. If a commit write is in flight, the store decides which one wins. */
    switch_actions cancel();

    switch_actions onMessage(const switch_message &message);
    switch_actions onStoreAnswer(const store_answer &answer);

    /** Sends outstanding requests again; a lost store answer is resolved by reading the record. */
    switch_actions onTimeout();

    /** Aborts an attempt whose promises do not arrive: held ranks continue with the current map. Then stages again. */
    switch_actions abandonAttempt();

    coordinator_phase phase() const
    {
        return m_phase;
    }

    const map_record &record() const
    {
        return m_record;
    }

    friend bool operator==(const coordinator_switch_state &, const coordinator_switch_state &) = default;

private:
    friend struct state_digest; // Hashes the complete state so that tests can detect states visited before.

    /** What the coordinator knows about one rank. */
    struct rank_progress
    {
        std::uint64_t nextStep = 0;
        bool staged = false;
        bool promised = false;

        friend bool operator==(const rank_progress &, const rank_progress &) = default;
    };

    switch_actions applyRecord(const map_record &record);
    switch_actions finishAttempt();
    switch_actions beginStaging();
    switch_actions beginPromising();
    switch_actions requestMissingStaging() const;
    switch_actions requestMissingPromises() const;
    switch_actions broadcast(switch_message_kind kind) const;
    switch_actions onStaged(const switch_message &message);
    switch_actions onPromise(const switch_message &message);
    store_request readRequest();
    /** @returns a write of the unchanged record with the next sequence number, which ends the current attempt. */
    store_request nextWriteRequest();
    store_request takeoverRequest();
    store_request commitRequest();
    bool allStaged() const;

    std::uint64_t m_owner;
    std::uint64_t m_stepMargin;
    coordinator_phase m_phase = coordinator_phase::idle;
    bool m_cancelling = false;
    std::uint64_t m_fenceAtStart = 0; ///< The takeover of start() is complete when the fencing number exceeds this.
    map_id m_target = 0;
    map_record m_record;
    std::uint64_t m_attemptSequence = 0; ///< Sequence number of the write that decides the current attempt.
    std::uint64_t m_lastStep = 0; ///< Last step that ranks which gave their promise may enter before the decision.
    std::vector<rank_progress> m_progress;
    std::uint64_t m_nextTag = 1;
};

} // namespace bronzechute
