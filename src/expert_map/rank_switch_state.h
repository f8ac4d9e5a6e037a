#pragma once

#include "expert_map/rank_engine_state.h"
#include "expert_map/switch_action.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bronzechute {

/**
 * State machine of one rank (its engine and the endpoint process next to it) in the map switching protocol.
 *
 * A rank that gave a promise does not step past the promised step until it knows the outcome of the write that decides
 * the attempt, and a rank steps only after the decision record lists its incarnation. The caller retries with
 * onTimeout(); all handlers tolerate duplicate, late and reordered input.
 */
class rank_switch_state
{
public:
    /**
     * @param incarnation identifier of this start of the engine; unique, not 0
     * @param groupStep step that the running group waits for; empty if the whole group restarts
     * @param tagBase first tag of the store requests; different for each start of the endpoint process
     */
    rank_switch_state(std::size_t rank, std::uint64_t incarnation, std::optional<std::uint64_t> groupStep,
                      std::uint64_t tagBase);

    /** Restarts the endpoint process: its own state is lost, the engine's state is read back. */
    switch_actions restartEndpoint(std::uint64_t tagBase);

    switch_actions onMessage(const switch_message &message);
    switch_actions onStoreAnswer(const store_answer &answer);
    switch_actions onLoaded(const load_request &load);

    /** Reads the record again if the rank needs it to join, or to learn the fencing number or a decision. */
    switch_actions onTimeout();

    /** @returns whether onTimeout() would send a request. */
    bool isWaiting() const;

    /** @returns whether the engine may enter its next step. */
    bool mayStep() const;

    /** @returns the map that the engine uses in its next step. */
    map_id mapOfNextStep() const;

    /** Enters the next step. Requires mayStep(). */
    void step();

    const rank_engine_state &engine() const
    {
        return m_engine;
    }

    /** @returns the fencing number below which commands are refused; empty until the record has been read. */
    std::optional<std::uint64_t> fence() const
    {
        return m_fence;
    }

    friend bool operator==(const rank_switch_state &, const rank_switch_state &) = default;

private:
    friend struct state_digest; // Hashes the complete state so that tests can detect states visited before.

    switch_actions onStage(const switch_message &message);
    switch_actions onPromiseRequest(const switch_message &message);
    promise_refusal refusalOf(const switch_message &message) const;
    void applyRecord(const map_record &record);
    void join(const map_record &record);
    store_request readRequest();

    std::size_t m_rank;
    rank_engine_state m_engine;
    std::optional<std::uint64_t> m_groupStep;

    // State of the endpoint process.
    std::optional<std::uint64_t> m_fence;
    std::uint64_t m_sequence = 0; ///< Highest sequence number of the record that was seen.
    std::uint64_t m_nextTag;
    std::uint64_t m_readTag = 0; ///< Tag of the last read; answers to earlier reads are stale.
    std::uint64_t m_stageFence = 0; ///< Fencing number of the stage command whose map is being loaded.
    std::optional<map_record> m_joinBase; ///< The record that the join write is based on.
};

} // namespace bronzechute
