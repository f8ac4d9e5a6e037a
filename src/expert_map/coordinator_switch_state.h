#pragma once

#include "expert_map/switch_action.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bronzechute {

enum class coordinator_phase : std::uint8_t {
    idle, ///< No switch was asked for.
    acquiring, ///< Reads the record and raises the fencing number.
    staging, ///< Waits until every member has loaded the new map's weights.
    promising, ///< Waits for every member's promise.
    committing, ///< The write that commits the map is outstanding or its answer was lost.
    aborting, ///< The write that ends the attempt is outstanding or its answer was lost.
    committed, ///< The record holds the new map; repeats `go` on each timeout until the caller stops.
    cancelled, ///< The switch was given up; the current map stays.
    superseded, ///< Another coordinator raised the fencing number.
};

/**
 * The switching protocol of a coordinator for one map change of one rank group.
 *
 * Safety rests on the record's compare-and-swap alone: a commit is conditional on the sequence that all promises name,
 * and each takeover, join and abort changes that sequence. A lease only limits how often coordinators contend.
 */
class coordinator_switch_state
{
public:
    /**
     * @param owner random identifier of this process, unique and not 0
     * @param margin steps between the latest known step and the promised one; doubles after a refusal as too late
     */
    coordinator_switch_state(std::uint64_t owner, std::uint64_t margin);

    /** Raises the fencing number, which ends any open attempt, and begins to switch to the target. */
    switch_actions start(map_id target);

    /** Gives the switch up where it is not yet decided. The store decides whether a commit under way came first. */
    switch_actions cancel();

    switch_actions onMessage(const switch_message &message);
    switch_actions onStoreAnswer(const store_answer &answer);

    /** Repeats what is outstanding; a lost store answer is resolved by reading back. */
    switch_actions onTimeout();

    /** Ends an attempt whose promises do not arrive: held ranks go on with the current map. Stages again. */
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
    friend struct state_digest; // Reads the complete state to recognise explored ones.

    /** What the coordinator knows of one rank. */
    struct rank_progress
    {
        std::uint64_t nextStep = 0;
        bool staged = false;
        bool promised = false;

        friend bool operator==(const rank_progress &, const rank_progress &) = default;
    };

    switch_actions learn(const map_record &record);
    switch_actions afterDecision();
    switch_actions beginStaging();
    switch_actions beginPromising();
    switch_actions stageMissing() const;
    switch_actions requestMissingPromises() const;
    switch_actions announce(switch_message_kind kind) const;
    switch_actions onStaged(const switch_message &message);
    switch_actions onPromise(const switch_message &message);
    store_request read();
    /** Writes the record unchanged with the next sequence, which ends the current attempt. */
    store_request nextWrite();
    store_request writeTakeover();
    store_request writeCommit();
    bool allStaged() const;

    std::uint64_t m_owner;
    std::uint64_t m_margin;
    coordinator_phase m_phase = coordinator_phase::idle;
    bool m_cancelling = false;
    std::uint64_t m_acquireAbove = 0; ///< The takeover of this start has a higher fencing number.
    map_id m_target = 0;
    map_record m_record;
    std::uint64_t m_attempt = 0; ///< Sequence of the write that decides the current attempt.
    std::uint64_t m_lastStep = 0; ///< The step that ranks promise not to pass.
    std::vector<rank_progress> m_progress;
    std::uint64_t m_nextTag = 1;
};

} // namespace bronzechute
