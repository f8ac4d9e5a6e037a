#include "switch_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace bronzechute {
namespace {

bool isFault(const simulation_event &event)
{
    return event.kind != event_kind::step && event.kind != event_kind::deliver && event.kind != event_kind::start_rank;
}

/** Chooses a fault for about one event in eight, so that faults are spread over the whole switch. */
simulation_event choose(const std::vector<simulation_event> &possible, std::uint16_t choice)
{
    const bool fault = choice % 8 == 0;
    std::vector<simulation_event> preferred;
    std::copy_if(possible.begin(), possible.end(), std::back_inserter(preferred),
                 [&](const simulation_event &event) { return isFault(event) == fault; });
    const auto &from = preferred.empty() ? possible : preferred;
    return from[(choice / 8) % from.size()];
}

TEST(switch_property, randomOrdersWithAllFaultsUseOneMapAndRecover)
{
    // Shrinking is disabled because it takes minutes; the printed seed reproduces a failure.
    setenv("RC_PARAMS", "max_success=1000 noshrink=1", 0);
    std::size_t orders = 0;
    std::size_t events = 0;
    std::uint64_t epochs = 0;
    const bool holds =
        rc::check("all ranks use the same map in each step, and the group recovers after the faults", [&] {
            const auto choices =
                *rc::gen::container<std::vector<std::uint16_t>>(400, rc::gen::arbitrary<std::uint16_t>());
            switch_simulation simulation({.drops = 8,
                                          .duplicates = 8,
                                          .rankKills = 3,
                                          .endpointRestarts = 3,
                                          .coordinatorKills = 2,
                                          .takeovers = 4,
                                          .abandons = 2,
                                          .groupRestarts = 1,
                                          .rankTimeouts = 12,
                                          .coordinatorTimeouts = 12},
                                         60, 2);
            for (const auto choice : choices) {
                const auto possible = simulation.events();
                if (possible.empty()) {
                    break;
                }
                simulation.apply(choose(possible, choice));
                ++events;
                RC_ASSERT(!simulation.violated());
            }
            ++orders;
            simulation.lastStep = 1000;
            simulation.settle(80);
            epochs += simulation.record.epoch;
            RC_ASSERT(!simulation.violated());
            if (!simulation.finishedOnRecordMap()) {
                RC_FAIL(simulation.describe());
            }
        });
    std::cout << "random orders " << orders << ", events " << events << ", committed maps " << epochs << '\n';
    EXPECT_TRUE(holds);
}

} // namespace
} // namespace bronzechute
