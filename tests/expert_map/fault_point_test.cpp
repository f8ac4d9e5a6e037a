#include "switch_simulation.h"

#include <gtest/gtest.h>

#include <functional>
#include <iostream>

namespace bronzechute {
namespace {

constexpr int settleRounds = 40;

/** Types of messages during a switch, in the order in which they first occur in a run without faults. */
enum class message_type { read, answer, write, stage, load, staged, promise_request, promise, commit, abort };

constexpr std::pair<message_type, const char *> messageTypes[] = {{message_type::read, "store_read"},
                                                                  {message_type::answer, "store_answer"},
                                                                  {message_type::write, "store_write"},
                                                                  {message_type::stage, "stage"},
                                                                  {message_type::load, "load"},
                                                                  {message_type::staged, "staged"},
                                                                  {message_type::promise_request, "promise_request"},
                                                                  {message_type::promise, "promise"},
                                                                  {message_type::commit, "commit"},
                                                                  {message_type::abort, "abort"}};

message_type messageTypeOf(const envelope &item)
{
    if (const auto *call = std::get_if<store_request>(&item.payload)) {
        return call->write ? message_type::write : message_type::read;
    }
    if (std::holds_alternative<store_answer>(item.payload)) {
        return message_type::answer;
    }
    if (std::holds_alternative<load_request>(item.payload)) {
        return message_type::load;
    }
    switch (std::get<switch_message>(item.payload).kind) {
    case switch_message_kind::stage:
        return message_type::stage;
    case switch_message_kind::staged:
        return message_type::staged;
    case switch_message_kind::promise_request:
        return message_type::promise_request;
    case switch_message_kind::promise:
        return message_type::promise;
    case switch_message_kind::commit:
        return message_type::commit;
    case switch_message_kind::abort:
        break;
    }
    return message_type::abort;
}

/** A fault that is injected just before or just after the delivery of a message of the tested type. */
struct fault_row
{
    const char *name; ///< The failure that the case guards against.
    std::function<void(switch_simulation &, std::size_t rank)> inject;
};

void killRank(switch_simulation &simulation, std::size_t rank)
{
    simulation.apply({event_kind::kill_rank, rank});
}

void restartEndpoint(switch_simulation &simulation, std::size_t rank)
{
    simulation.apply({event_kind::restart_endpoint, rank});
}

void killCoordinator(switch_simulation &simulation, std::size_t)
{
    simulation.apply({event_kind::kill_coordinator, 0});
}

void takeOver(switch_simulation &simulation, std::size_t)
{
    simulation.apply({event_kind::takeover, 1});
}

void freezePastLease(switch_simulation &simulation, std::size_t)
{
    std::vector<envelope> undelivered;
    std::erase_if(simulation.network, [&](const envelope &item) {
        const bool toFrozenCoordinator = item.to == envelope::target::coordinator && item.node == 0;
        const bool fromFrozenCoordinator = item.to == envelope::target::store && !item.callerIsRank && item.node == 0;
        if (toFrozenCoordinator || fromFrozenCoordinator) {
            undelivered.push_back(item);
        }
        return toFrozenCoordinator || fromFrozenCoordinator;
    });
    simulation.coordinatorFrozen = true;
    simulation.apply({event_kind::takeover, 1});
    simulation.settle(settleRounds);
    simulation.coordinatorFrozen = false;
    simulation.network.insert(simulation.network.end(), undelivered.begin(), undelivered.end());
}

void dropMessage(switch_simulation &simulation, std::size_t)
{
    if (!simulation.network.empty()) {
        simulation.network.erase(simulation.network.begin());
    }
}

void delayMessage(switch_simulation &simulation, std::size_t)
{
    if (!simulation.network.empty()) {
        const envelope late = simulation.network.front();
        simulation.network.erase(simulation.network.begin());
        simulation.settle(settleRounds);
        simulation.network.push_back(late);
    }
}

void duplicateMessage(switch_simulation &simulation, std::size_t)
{
    if (!simulation.network.empty()) {
        const envelope copy = simulation.network.front();
        simulation.settle(settleRounds);
        simulation.network.push_back(copy);
    }
}

void storeOutage(switch_simulation &simulation, std::size_t)
{
    simulation.storeUnavailable = true;
    simulation.settle(5);
    simulation.storeUnavailable = false;
}

void loseAnswers(switch_simulation &simulation, std::size_t)
{
    simulation.answersLost = true;
    simulation.settle(5);
    simulation.answersLost = false;
}

void killRankDuringTakeover(switch_simulation &simulation, std::size_t rank)
{
    takeOver(simulation, rank);
    killRank(simulation, rank);
}

void restartGroup(switch_simulation &simulation, std::size_t)
{
    simulation.apply({event_kind::restart_group, 0});
}

class fault_point : public testing::TestWithParam<std::tuple<std::pair<message_type, const char *>, fault_row>>
{
};

TEST_P(fault_point, oneMapInEveryStepAndTheGroupGoesOn)
{
    const auto [testedType, fault] = GetParam();
    int injected = 0;
    for (std::size_t rank = 0; rank < switch_simulation::rankCount; ++rank) {
        for (const bool after : {false, true}) {
            switch_simulation run({}, 1000, 2);
            bool abandoned = testedType.first != message_type::abort;
            while (!run.network.empty()) {
                if (!abandoned && run.coordinators[0].phase() == coordinator_phase::promising) {
                    run.apply({event_kind::abandon, 0});
                    abandoned = true;
                }
                if (messageTypeOf(run.network.front()) != testedType.first) {
                    run.deliver(0);
                    continue;
                }
                switch_simulation simulation = run;
                if (after) {
                    simulation.deliver(0);
                }
                fault.inject(simulation, rank);
                simulation.settle(2 * settleRounds);
                ++injected;
                ASSERT_FALSE(simulation.violated()) << simulation.describe();
                ASSERT_TRUE(simulation.finishedOnRecordMap()) << simulation.describe();
                run.deliver(0);
            }
        }
    }
    std::cout << "injected " << injected << '\n';
    EXPECT_GT(injected, 0);
}

INSTANTIATE_TEST_SUITE_P(
    rows, fault_point,
    testing::Combine(testing::ValuesIn(messageTypes),
                     testing::Values(fault_row {"killed_rank_returns_on_another_map", killRank},
                                     fault_row {"restarted_endpoint_forgets_promise_or_fence", restartEndpoint},
                                     fault_row {"killed_coordinator_leaves_ranks_held", killCoordinator},
                                     fault_row {"frozen_coordinator_acts_past_its_lease", freezePastLease},
                                     fault_row {"two_coordinators_commit_two_maps", takeOver},
                                     fault_row {"dropped_message_leaves_ranks_held", dropMessage},
                                     fault_row {"delayed_message_undoes_a_newer_decision", delayMessage},
                                     fault_row {"duplicate_message_repeats_a_switch", duplicateMessage},
                                     fault_row {"store_outage_splits_the_group", storeOutage},
                                     fault_row {"lost_store_answer_taken_as_failure", loseAnswers},
                                     fault_row {"takeover_counts_a_killed_rank", killRankDuringTakeover},
                                     fault_row {"group_restart_mixes_two_maps", restartGroup})),
    [](const auto &row) { return std::string(std::get<0>(row.param).second) + "_" + std::get<1>(row.param).name; });

} // namespace
} // namespace bronzechute
