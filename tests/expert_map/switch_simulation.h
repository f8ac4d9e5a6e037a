#pragma once

#include "expert_map/coordinator_switch_state.h"
#include "expert_map/rank_switch_state.h"
#include "step_check.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bronzechute {

/** A message in flight between ranks, coordinators and the store, or a running load. */
struct envelope
{
    enum class target : std::uint8_t { rank, coordinator, store };
    target to = target::rank;
    std::size_t node = 0; ///< Index of the receiving rank or coordinator; for messages to the store, of the sender.
    std::size_t coordinator = 0; ///< The coordinator that replies are sent to.
    bool callerIsRank = false; ///< Whether a store request comes from a rank.
    std::variant<switch_message, store_request, store_answer, load_request> payload;

    friend bool operator==(const envelope &, const envelope &) = default;
    friend auto operator<=>(const envelope &, const envelope &) = default;
};

/** Maximum number of faults of each kind that a simulation may inject. */
struct fault_budget
{
    int drops = 0;
    int duplicates = 0;
    int rankKills = 0;
    int endpointRestarts = 0;
    int coordinatorKills = 0;
    int takeovers = 0; ///< Starts of a coordinator with a new target, regardless of the other coordinator.
    int abandons = 0;
    int groupRestarts = 0;
    int rankTimeouts = 0;
    int coordinatorTimeouts = 0;
};

enum class event_kind : std::uint8_t {
    step, ///< A rank enters its next step.
    deliver,
    drop,
    duplicate,
    kill_rank,
    start_rank,
    restart_endpoint,
    kill_coordinator, ///< Terminates a coordinator and starts a new process in its place.
    takeover,
    abandon,
    restart_group,
    rank_timeout,
    coordinator_timeout,
};

struct simulation_event
{
    event_kind kind = event_kind::step;
    std::size_t index = 0; ///< Rank, coordinator or position in the network.
};

/**
 * Simulation of three ranks, two coordinators, the store and the network between them, as a copyable value.
 *
 * A frozen process is modelled by not delivering its messages, so the orders of delivery include processes that are
 * frozen for longer than the lease.
 */
class switch_simulation
{
public:
    static constexpr std::size_t rankCount = 3;
    static constexpr std::size_t coordinatorCount = 2;
    static constexpr map_id initialMap = 1;

    /** Starts when all ranks have joined with the initial map and the first coordinator begins a switch. */
    switch_simulation(const fault_budget &budget, std::uint64_t lastStep, std::uint64_t margin);

    std::vector<simulation_event> events() const;
    void apply(const simulation_event &event);
    std::uint64_t digest() const;

    /** Runs up to `rounds` rounds without faults: delivers messages in order, enters steps and lets timeouts expire. */
    void settle(int rounds);

    /** Delivers the message at the given position in the network. */
    void deliver(std::size_t index);

    bool violated() const
    {
        return m_check.violated;
    }

    /** @returns whether all ranks have entered a step with the record's map and none is held. */
    bool finishedOnRecordMap() const;

    std::string describe() const;

    std::vector<envelope> network;
    std::vector<rank_switch_state> ranks;
    std::vector<coordinator_switch_state> coordinators;
    map_record record;
    fault_budget budget;
    bool storeUnavailable = false; ///< Store requests are lost.
    bool answersLost = false; ///< The store executes requests, but its answers are lost.
    bool coordinatorFrozen = false; ///< Timeouts of the first coordinator do not expire; callers withhold its messages.

    bool mayStep(std::size_t rank) const;
    void send(const switch_actions &actions, std::size_t coordinator, bool fromRank, std::size_t node);
    std::uint64_t lastStep;

private:
    void startRank(std::size_t rank);
    void serveStore(const envelope &call);

    std::vector<bool> m_down; ///< Whether a rank is stopped.
    std::vector<std::uint64_t> m_slotStep; ///< The next step that the group expects of each rank.
    std::uint64_t m_nextIncarnation = 100;
    std::uint64_t m_stepMargin;
    std::vector<map_id> m_targets {11, 22}; ///< Target map, by coordinator.
    step_check m_check;
};

} // namespace bronzechute
