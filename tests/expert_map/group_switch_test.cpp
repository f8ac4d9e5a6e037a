#include "expert_map/demand_tracker.h"
#include "expert_map/group_switch.h"
#include "expert_map/placement_planner.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

/** Engine of one rank as specified by the platform; a command that does not apply to its state has no effect. */
struct simulated_engine
{
    std::int64_t map = 0;
    std::int64_t highestVersion = 0;
    std::optional<std::int64_t> prepared;
    std::optional<std::pair<std::int64_t, std::int64_t>> armed; ///< Version and step.
    std::optional<std::int64_t> held;

    bool apply(const rank_command &command, std::int64_t groupStep)
    {
        switch (command.kind) {
        case rank_command_kind::prepare:
            if (prepared == command.version) {
                return true;
            }
            if (armed || command.version <= highestVersion) {
                return false;
            }
            highestVersion = command.version;
            prepared = command.version;
            return true;
        case rank_command_kind::hold:
            if (held == command.step) {
                return true;
            }
            if (held || command.step <= groupStep) {
                return false;
            }
            held = command.step;
            return true;
        case rank_command_kind::arm:
            if (armed && armed->first == command.version && armed->second == command.step) {
                return true;
            }
            if (armed || prepared != command.version || command.step <= groupStep) {
                return false;
            }
            armed = {command.version, command.step};
            return true;
        case rank_command_kind::release:
            if (held != command.step) {
                return false;
            }
            held.reset();
            return true;
        }
        return false;
    }
};

struct simulated_group
{
    std::vector<simulated_engine> ranks;
    std::int64_t step = 0;

    /** Begins the next step unless it is held. @returns whether all ranks use the same map in it. */
    bool advance()
    {
        const std::int64_t next = step + 1;
        for (const simulated_engine &rank : ranks) {
            if (rank.held && next >= *rank.held) {
                return true;
            }
        }
        step = next;
        std::set<std::int64_t> maps;
        for (simulated_engine &rank : ranks) {
            if (rank.armed && rank.armed->second == step) {
                rank.map = rank.armed->first;
                rank.armed.reset();
                rank.prepared.reset();
            }
            maps.insert(rank.map);
        }
        return maps.size() == 1;
    }
};

struct network_faults
{
    std::string name;
    double lostAnswer = 0; ///< Probability that a command is executed at once and its answer is lost.
    double late = 0; ///< Probability that a command is not answered and is executed 2 to 12 s later.
    bool coordinatorFails = false; ///< The coordinator fails at random times, and another one takes over after 3 s.
};

class switch_faults : public testing::TestWithParam<network_faults>
{
};

/** Runs successive switches for 60 s of simulated time. @returns the number of switches that ended on the new map. */
int runSwitches(const network_faults &faults, std::uint64_t seed)
{
    constexpr std::size_t ranks = 8;
    constexpr auto stepTime = 60ms;
    constexpr auto tick = 20ms;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> chance(0, 1);
    simulated_group group {std::vector<simulated_engine>(ranks), 0};
    std::multimap<time_point, addressed_command> late;
    time_point now {1h};
    time_point nextStep = now;
    std::optional<group_switch> change;
    std::int64_t version = 0;
    int completed = 0;
    const time_point end = now + 60s;
    time_point failsAt = now + std::chrono::milliseconds(random() % 4000);
    time_point resumesAt {};
    for (; now < end; now += tick) {
        for (; nextStep <= now; nextStep += stepTime) {
            if (!group.advance()) {
                ADD_FAILURE() << "two maps in step " << group.step << ", seed " << seed;
                return completed;
            }
        }
        while (!late.empty() && late.begin()->first <= now) {
            const addressed_command command = late.begin()->second;
            late.erase(late.begin());
            group.ranks[command.rank].apply(command.order, group.step);
        }
        if (faults.coordinatorFails && change && now >= failsAt) {
            change.reset();
            resumesAt = now + 3s;
            failsAt = now + std::chrono::milliseconds(4000 + random() % 4000);
        }
        if (!change) {
            const simulated_engine &holder = group.ranks[group_switch::holdingRank];
            if (holder.held && now >= resumesAt) {
                const std::int64_t found = holder.armed ? holder.armed->first : holder.prepared.value_or(0);
                change = group_switch::resume(1, found, ranks, *holder.held, now);
            } else if (!holder.held && now >= resumesAt) {
                version = std::max(version, group.ranks.front().highestVersion) + 100;
                change.emplace(1, version, ranks, 100ms, now);
            } else {
                continue;
            }
        }
        for (const addressed_command &command : change->due(now)) {
            const double drawn = chance(random);
            if (drawn < faults.late) {
                late.emplace(now + std::chrono::milliseconds(2000 + random() % 10000), command);
                change->onOutcome(command, command_outcome::unknown, now);
            } else {
                const bool accepted = group.ranks[command.rank].apply(command.order, group.step);
                const bool lost = drawn < faults.late + faults.lostAnswer;
                const auto outcome = lost ? command_outcome::unknown
                    : accepted            ? command_outcome::accepted
                                          : command_outcome::rejected;
                change->onOutcome(command, outcome, now);
            }
            if (change->ended()) {
                break;
            }
        }
        if (change->phase() == switch_phase::reading_step) {
            change->onStep(group.step, {});
        }
        if (change->ended()) {
            completed += change->phase() == switch_phase::done ? 1 : 0;
            change.reset();
            resumesAt = now + 300ms;
        }
    }
    return completed;
}

TEST_P(switch_faults, keepOneMapInEachStep)
{
    constexpr std::uint64_t seeds = 200;
    int completed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        completed += runSwitches(GetParam(), seed);
        if (HasFailure()) {
            return;
        }
    }
    EXPECT_GT(completed, static_cast<int>(seeds)) << "too few switches completed";
}

INSTANTIATE_TEST_SUITE_P(rows, switch_faults,
                         testing::Values(network_faults {"no_faults", 0, 0, false},
                                         network_faults {"answers_lost", 0.3, 0, false},
                                         network_faults {"commands_late", 0, 0.35, false},
                                         network_faults {"lost_and_late", 0.2, 0.3, false},
                                         network_faults {"coordinator_fails", 0, 0, true},
                                         network_faults {"coordinator_fails_with_late_commands", 0.1, 0.2, true}),
                         [](const auto &row) { return row.param.name; });

/** Verifies the check itself: arming without a hold lets a step use two maps if one `arm` is late. */
TEST(switch_check, detectsTwoMapsWhenArmingWithoutHoldAndOneCommandIsLate)
{
    simulated_group group {std::vector<simulated_engine>(2), 0};
    for (simulated_engine &rank : group.ranks) {
        ASSERT_TRUE(rank.apply({rank_command_kind::prepare, 1, 1, 0}, group.step));
    }
    ASSERT_TRUE(group.ranks[0].apply({rank_command_kind::arm, 1, 1, 3}, group.step));
    bool oneMap = true;
    for (int count = 0; count < 4; ++count) {
        oneMap = group.advance() && oneMap;
    }
    EXPECT_FALSE(oneMap);
}

TEST(group_switch, isAbandonedWhenTheGroupFormsAgain)
{
    group_switch change(1, 5, 2, 10ms, time_point {1h});
    change.onNewEpoch();
    EXPECT_EQ(change.phase(), switch_phase::abandoned);
    EXPECT_TRUE(change.due(time_point {1h}).empty());
}

// An engine that is down refuses each connection at once.
TEST(group_switch, repeatsLostCommandsWithGrowingDelays)
{
    const time_point begin {1h};
    group_switch change(1, 5, 1, 10ms, begin);
    int sent = 0;
    time_point secondAt {};
    for (time_point now = begin; now < begin + 1s; now += 1ms) {
        for (const addressed_command &command : change.due(now)) {
            ++sent;
            secondAt = sent == 2 ? now : secondAt;
            change.onOutcome(command, command_outcome::unknown, now);
        }
    }
    EXPECT_LE(secondAt - begin, 10ms) << "a lost command delays the group";
    EXPECT_LE(sent, 12);
}

struct step_row
{
    const char *name; ///< Failure that the row guards against.
    std::chrono::milliseconds stepTime;
    std::int64_t lowest; ///< Steps after the known one.
    std::int64_t highest;
};

class switch_step : public testing::TestWithParam<step_row>
{
};

// A report is up to 200 ms old, and the group computes with the old map until the switch step.
TEST_P(switch_step, isAheadOfTheGroupButNotFar)
{
    const time_point now {1h};
    group_switch change(1, 5, 1, 0ms, now);
    change.onOutcome(change.due(now).front(), command_outcome::accepted, now);
    change.due(now);
    ASSERT_EQ(change.phase(), switch_phase::reading_step);
    change.onStep(100, GetParam().stepTime);
    EXPECT_GE(change.step(), 100 + GetParam().lowest);
    EXPECT_LE(change.step(), 100 + GetParam().highest);
}

INSTANTIATE_TEST_SUITE_P(rows, switch_step,
                         testing::Values(step_row {"fast_group_has_begun_the_step", 30ms, 8, 12},
                                         step_row {"usual_group_has_begun_the_step", 60ms, 5, 7},
                                         step_row {"slow_group_keeps_its_old_map", 250ms, 2, 3},
                                         step_row {"group_of_unknown_speed_has_begun_the_step", 0ms, 5, 7}),
                         [](const auto &row) { return std::string(row.param.name); });

rank_counts countsOf(std::vector<double> numbers, std::int64_t step)
{
    rank_counts counts;
    counts.epoch = 1;
    counts.step = step;
    counts.chosen = load_matrix(1, numbers.size());
    counts.chosen.tokens = std::move(numbers);
    return counts;
}

TEST(demand_tracker, replacesDemandAfterAShift)
{
    demand_tracker tracker;
    EXPECT_EQ(tracker.record("a", countsOf({0, 0, 0, 0}, 1)), demand_tracker::change::unknown);
    EXPECT_EQ(tracker.record("a", countsOf({900, 50, 50, 0}, 2)), demand_tracker::change::steady);
    ASSERT_TRUE(tracker.demand());
    EXPECT_DOUBLE_EQ(tracker.demand()->at(0, 0), 0.9);
    EXPECT_EQ(tracker.record("a", countsOf({1000, 50, 1000, 0}, 3)), demand_tracker::change::shifted);
    EXPECT_FALSE(tracker.demand()) << "a mixture of both demands was used as the new demand";
    EXPECT_EQ(tracker.record("a", countsOf({1000, 50, 2000, 0}, 4)), demand_tracker::change::steady);
    EXPECT_DOUBLE_EQ(tracker.demand()->at(0, 2), 1.0);
}

TEST(demand_tracker, restartsCountingForAnotherSourceOrEpoch)
{
    demand_tracker tracker;
    tracker.record("a", countsOf({0, 0}, 1));
    tracker.record("a", countsOf({500, 500}, 2));
    EXPECT_EQ(tracker.record("b", countsOf({9000, 10}, 2)), demand_tracker::change::unknown);
    rank_counts restarted = countsOf({10, 10}, 1);
    restarted.epoch = 2;
    EXPECT_EQ(tracker.record("b", restarted), demand_tracker::change::unknown);
}

TEST(placement_planner, keepsTheLoadLimitPerRankAndLayer)
{
    constexpr std::size_t layers = 2;
    constexpr std::size_t experts = 16;
    constexpr std::size_t ranks = 4;
    load_matrix load(layers, experts);
    for (std::size_t index = 0; index < load.tokens.size(); ++index) {
        load.tokens[index] = index % experts < 3 ? 100.0 : 1.0;
    }
    planner_limits limits;
    limits.slots = 6;
    limits.maxLoads = 1000;
    limits.maxLoadsPerRank = 1000;
    limits.maxLoadsPerRankAndLayer = 1;
    limits.minGainPerLoad = 0.001;
    limits.storeBytesPerSecond = 1;
    const expert_map before = contiguousMap(layers, experts, ranks);
    const placement_plan plan = planPlacement(before, load, std::vector<double>(ranks, 1.0), limits);
    EXPECT_LT(plan.loadAfter, plan.loadBefore);
    for (std::size_t layer = 0; layer < layers; ++layer) {
        std::vector<int> added(ranks, 0);
        for (std::size_t expert = 0; expert < experts; ++expert) {
            for (const std::uint16_t rank : plan.map.copiesOf(layer, expert)) {
                const auto &copies = before.copiesOf(layer, expert);
                added[rank] += std::find(copies.begin(), copies.end(), rank) == copies.end() ? 1 : 0;
            }
        }
        for (const int count : added) {
            EXPECT_LE(count, 1);
        }
    }
}

} // namespace

} // namespace bronzechute
