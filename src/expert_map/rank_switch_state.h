#pragma once

#include "expert_map/rank_engine_state.h"
#include "expert_map/switch_action.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bronzechute {

/**
 * The switching protocol of one rank: its engine with the endpoint process beside it.
 *
 * A rank that gave a promise does not step past the promised step until it knows the write that decides it, and a rank
 * steps only after the record names its incarnation. The caller retries with onTimeout; every handler tolerates
 * repeated, late and reordered input.
 */
class rank_switch_state
{
public:
    /**
     * @param incarnation engine start id, unique and not 0
     * @param groupStep the step that the running group waits for; nothing when the whole group restarts
     * @param tagBase start of the store request tags, different for each start of the endpoint process
     */
    rank_switch_state(std::size_t rank, std::uint64_t incarnation, std::optional<std::uint64_t> groupStep,
                      std::uint64_t tagBase);

    /** The endpoint process restarts: it loses what only it knew and reads the engine's state back. */
    switch_actions restartEndpoint(std::uint64_t tagBase);

    switch_actions onMessage(const switch_message &message);
    switch_actions onStoreAnswer(const store_answer &answer);
    switch_actions onLoaded(const load_request &load);

    /** Asks the store again where the rank waits for it: to join, to learn the fencing number or a decision. */
    switch_actions onTimeout();

    /** @returns whether onTimeout has something to ask. */
    bool isWaiting() const;

    /** @returns whether the engine may enter its next step. */
    bool mayStep() const;

    /** @returns the map that the engine uses in its next step. */
    map_id mapOfNextStep() const;

    /** The engine enters its next step. Requires mayStep(). */
    void step();

    const rank_engine_state &engine() const
    {
        return m_engine;
    }

    /** @returns the fencing number below which commands are refused; nothing before the store's number is known. */
    std::optional<std::uint64_t> fence() const
    {
        return m_fence;
    }

    friend bool operator==(const rank_switch_state &, const rank_switch_state &) = default;

private:
    friend struct state_digest; // Reads the complete state to recognise explored ones.

    switch_actions onStage(const switch_message &message);
    switch_actions onPromiseRequest(const switch_message &message);
    promise_refusal refusalOf(const switch_message &message) const;
    void learn(const map_record &record);
    void join(const map_record &record);
    store_request read();

    std::size_t m_rank;
    rank_engine_state m_engine;
    std::optional<std::uint64_t> m_groupStep;

    // State of the endpoint process.
    std::optional<std::uint64_t> m_fence;
    std::uint64_t m_sequence = 0; ///< Highest sequence of the record that was seen.
    std::uint64_t m_nextTag;
    std::uint64_t m_readTag = 0; ///< Tag of the last read; the answer to an older one is not current.
    std::uint64_t m_stageFence = 0; ///< Fencing number of the stage command that is being loaded.
    std::optional<map_record> m_joinBase; ///< The record that the join is built on.
};

} // namespace bronzechute
