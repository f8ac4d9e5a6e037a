#include "switch_world.h"

#include <gtest/gtest.h>

#include <functional>
#include <iostream>

namespace bronzechute {
namespace {

constexpr int calmRounds = 40;

/** The messages of a switch, in the order in which a run without faults first has them. */
enum class point { read, answer, write, stage, load, staged, promise_request, promise, go, abort };

constexpr std::pair<point, const char *> points[] = {{point::read, "store_read"},
                                                     {point::answer, "store_answer"},
                                                     {point::write, "store_write"},
                                                     {point::stage, "stage"},
                                                     {point::load, "load"},
                                                     {point::staged, "staged"},
                                                     {point::promise_request, "promise_request"},
                                                     {point::promise, "promise"},
                                                     {point::go, "go"},
                                                     {point::abort, "abort"}};

point pointOf(const envelope &item)
{
    if (const auto *call = std::get_if<store_request>(&item.payload)) {
        return call->write ? point::write : point::read;
    }
    if (std::holds_alternative<store_answer>(item.payload)) {
        return point::answer;
    }
    if (std::holds_alternative<load_request>(item.payload)) {
        return point::load;
    }
    switch (std::get<switch_message>(item.payload).kind) {
    case switch_message_kind::stage:
        return point::stage;
    case switch_message_kind::staged:
        return point::staged;
    case switch_message_kind::promise_request:
        return point::promise_request;
    case switch_message_kind::promise:
        return point::promise;
    case switch_message_kind::go:
        return point::go;
    case switch_message_kind::abort:
        break;
    }
    return point::abort;
}

/** A fault injected when the message in question is first in the network ("before") or was just delivered. */
struct fault_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(switch_world &, std::size_t rank)> inject;
};

void killRank(switch_world &world, std::size_t rank)
{
    world.apply({event_kind::kill_rank, rank});
}

void restartEndpoint(switch_world &world, std::size_t rank)
{
    world.apply({event_kind::restart_endpoint, rank});
}

void killCoordinator(switch_world &world, std::size_t)
{
    world.apply({event_kind::kill_coordinator, 0});
}

void takeOver(switch_world &world, std::size_t)
{
    world.apply({event_kind::takeover, 1});
}

void freezePastLease(switch_world &world, std::size_t)
{
    std::vector<envelope> held;
    std::erase_if(world.network, [&](const envelope &item) {
        const bool toFrozen = item.to == envelope::target::coordinator && item.node == 0;
        const bool fromFrozen = item.to == envelope::target::store && !item.callerIsRank && item.node == 0;
        if (toFrozen || fromFrozen) {
            held.push_back(item);
        }
        return toFrozen || fromFrozen;
    });
    world.coordinatorFrozen = true;
    world.apply({event_kind::takeover, 1});
    world.settle(calmRounds);
    world.coordinatorFrozen = false;
    world.network.insert(world.network.end(), held.begin(), held.end());
}

void dropMessage(switch_world &world, std::size_t)
{
    if (!world.network.empty()) {
        world.network.erase(world.network.begin());
    }
}

void delayMessage(switch_world &world, std::size_t)
{
    if (!world.network.empty()) {
        const envelope late = world.network.front();
        world.network.erase(world.network.begin());
        world.settle(calmRounds);
        world.network.push_back(late);
    }
}

void duplicateMessage(switch_world &world, std::size_t)
{
    if (!world.network.empty()) {
        const envelope copy = world.network.front();
        world.settle(calmRounds);
        world.network.push_back(copy);
    }
}

void storeOutage(switch_world &world, std::size_t)
{
    world.storeOut = true;
    world.settle(5);
    world.storeOut = false;
}

void loseAnswers(switch_world &world, std::size_t)
{
    world.answersLost = true;
    world.settle(5);
    world.answersLost = false;
}

void killRankDuringTakeover(switch_world &world, std::size_t rank)
{
    takeOver(world, rank);
    killRank(world, rank);
}

void restartGroup(switch_world &world, std::size_t)
{
    world.apply({event_kind::restart_group, 0});
}

class fault_point : public testing::TestWithParam<std::tuple<std::pair<point, const char *>, fault_row>>
{
};

TEST_P(fault_point, oneMapInEveryStepAndTheGroupGoesOn)
{
    const auto [where, fault] = GetParam();
    int injected = 0;
    for (std::size_t rank = 0; rank < switch_world::rankCount; ++rank) {
        for (const bool after : {false, true}) {
            switch_world run({}, 1000, 2);
            bool abandoned = where.first != point::abort;
            while (!run.network.empty()) {
                if (!abandoned && run.coordinators[0].phase() == coordinator_phase::promising) {
                    run.apply({event_kind::abandon, 0});
                    abandoned = true;
                }
                if (pointOf(run.network.front()) != where.first) {
                    run.deliver(0);
                    continue;
                }
                switch_world world = run;
                if (after) {
                    world.deliver(0);
                }
                fault.inject(world, rank);
                world.settle(2 * calmRounds);
                ++injected;
                ASSERT_FALSE(world.violated()) << world.describe();
                ASSERT_TRUE(world.finishedOnRecordMap()) << world.describe();
                run.deliver(0);
            }
        }
    }
    std::cout << "injected " << injected << '\n';
    EXPECT_GT(injected, 0);
}

INSTANTIATE_TEST_SUITE_P(
    rows, fault_point,
    testing::Combine(testing::ValuesIn(points),
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
