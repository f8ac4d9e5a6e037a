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
    std::size_t node = 0; ///< Index of the receiving rank or coordinator; of the caller for the store.
    std::size_t coordinator = 0; ///< The coordinator that the exchange belongs to; replies go there.
    bool callerIsRank = false; ///< For calls to the store.
    std::variant<switch_message, store_request, store_answer, load_request> payload;

    friend bool operator==(const envelope &, const envelope &) = default;
    friend auto operator<=>(const envelope &, const envelope &) = default;
};

/** How many faults of each kind an exploration may inject. */
struct fault_budget
{
    int drops = 0;
    int duplicates = 0;
    int rankKills = 0;
    int endpointRestarts = 0;
    int coordinatorKills = 0;
    int takeovers = 0; ///< Starts of a coordinator with a new target, whatever the other one does.
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
    kill_coordinator, ///< And start its successor process.
    takeover,
    abandon,
    restart_group,
    rank_timeout,
    coordinator_timeout,
};

struct world_event
{
    event_kind kind = event_kind::step;
    std::size_t index = 0; ///< Rank, coordinator or position in the network.
};

/**
 * Three ranks, two coordinators, the store and the network between them, as one value.
 *
 * A frozen process is one whose messages are not delivered for any time, so every order of deliveries includes
 * freezes past the lease.
 */
class switch_world
{
public:
    static constexpr std::size_t rankCount = 3;
    static constexpr std::size_t coordinatorCount = 2;
    static constexpr map_id initialMap = 1;

    /** All ranks have joined on the initial map and the first coordinator starts its switch. */
    switch_world(const fault_budget &budget, std::uint64_t lastStep, std::uint64_t margin);

    std::vector<world_event> events() const;
    void apply(const world_event &event);
    std::uint64_t digest() const;

    /** Delivers in order, steps, and lets timeouts expire without faults, until nothing changes or rounds end. */
    void settle(int rounds);

    /** Delivers one message of the network. */
    void deliver(std::size_t index);

    bool violated() const
    {
        return m_check.violated;
    }

    /** @returns whether all ranks have taken a step on the record's map and none is held. */
    bool finishedOnRecordMap() const;

    std::string describe() const;

    std::vector<envelope> network;
    std::vector<rank_switch_state> ranks;
    std::vector<coordinator_switch_state> coordinators;
    map_record record;
    fault_budget budget;
    bool storeOut = false; ///< Calls to the store vanish.
    bool answersLost = false; ///< The store acts on calls, but its answers vanish.
    bool coordinatorFrozen = false; ///< The first coordinator's timeouts do not expire; hold back its messages too.

    bool mayStep(std::size_t rank) const;
    void send(const switch_actions &actions, std::size_t coordinator, bool fromRank, std::size_t node);
    std::uint64_t lastStep;

private:
    void startRank(std::size_t rank);
    void serveStore(const envelope &call);

    std::vector<bool> m_down;
    std::vector<std::uint64_t> m_slotStep; ///< The next step that the group expects of each rank.
    std::uint64_t m_nextIncarnation = 100;
    std::uint64_t m_margin;
    std::vector<map_id> m_targets {11, 22}; ///< By coordinator.
    step_check m_check;
};

} // namespace bronzechute
