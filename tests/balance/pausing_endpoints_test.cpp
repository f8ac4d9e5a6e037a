#include "standins/load_replay.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <cstdio>
#include <utility>

namespace bronzechute::standins {

namespace {

// A third of the endpoints ask for pauses, under more load than all of them together can serve.
replay_pattern pausingThird(bool readsPauses)
{
    return {.name = "third_pauses", .load = 1.2, .pausingEndpoints = 3, .readsPauses = readsPauses};
}

/** Mean of some seeds, since a single one differs by some percent from another. */
replay_result meanOf(const replay_pattern &pattern)
{
    constexpr int seeds = 10;
    replay_result mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const replay_result result = replayLoad(pattern, replay_policy::bronzechute, seed);
        mean.inAim += result.inAim / seeds;
        mean.served += result.served / seeds;
        mean.worth += result.worth / seeds;
        mean.turnedAway += result.turnedAway;
        mean.unwanted += result.unwanted;
    }
    return mean;
}

constexpr double noise = 0.03; ///< A smaller change means nothing to the users.

// Guards against requests that are sent where they are turned away, and against a loss for callers by obeying.
TEST(pausing_third, costsCallersNothingWhenItsWordIsObeyed)
{
    const replay_result before = meanOf(pausingThird(false));
    const replay_result after = meanOf(pausingThird(true));
    for (const auto &[name, value] : {std::pair("before", before), std::pair("after", after)}) {
        std::printf("%s: in aim %.3f, served %.3f, worth %.3f; of all seeds: turned away %d, unwanted %d\n", name,
                    value.inAim, value.served, value.worth, value.turnedAway, value.unwanted);
    }
    EXPECT_GT(before.unwanted, 0) << "the load does not show the failure";
    EXPECT_EQ(after.unwanted, 0);
    // Each of the gateways learns of a pause by a request of its own, and by those under way meanwhile.
    EXPECT_LT(after.turnedAway, before.turnedAway / 10);
    EXPECT_GE(after.inAim, before.inAim - noise);
    EXPECT_GE(after.worth, before.worth - noise);
}

// All endpoints pause at the same time. What waits meanwhile must not overrun them in the first 100 ms afterwards.
TEST(pausing_together, endsWithoutMoreRequestsThanSlots)
{
    constexpr double slotsOfAll = 96;
    constexpr double seconds = 0.1;
    const replay_pattern pattern {.name = "all_pause", .load = 1.2, .pausingEndpoints = 8, .pauseTogether = true};
    const replay_result result = replayLoad(pattern, replay_policy::bronzechute, 1);
    std::printf("in aim %.3f, turned away %d, first 100 ms after a pause %d\n", result.inAim, result.turnedAway,
                result.firstAfterPause);
    EXPECT_EQ(result.unwanted, 0);
    EXPECT_GT(result.firstAfterPause, 0);
    // A request waits for each slot at most; those that were refused in the pause of a second return spread over 0.8 s;
    // and new ones come.
    constexpr double pauseOverSpread = 1 / 0.8;
    EXPECT_LE(result.firstAfterPause, slotsOfAll + pattern.load * result.capacity * seconds * (1 + pauseOverSpread));
}

} // namespace

} // namespace bronzechute::standins
