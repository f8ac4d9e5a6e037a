#include "balance/placement.h"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <vector>

namespace bronzechute {

namespace {

endpoint_view view(int running, int slots = 12)
{
    endpoint_view endpoint;
    endpoint.slots = slots;
    endpoint.running = running;
    endpoint.local = true;
    return endpoint;
}

struct placement_case
{
    std::string name;
    std::vector<endpoint_view> endpoints;
    std::optional<std::size_t> expected;
};

class placement_rule : public testing::TestWithParam<placement_case>
{
};

TEST_P(placement_rule, selects)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        std::mt19937_64 random(seed);
        EXPECT_EQ(placeRequest(GetParam().endpoints, 0, random), GetParam().expected) << "seed " << seed;
    }
}

endpoint_view unusable()
{
    endpoint_view endpoint = view(0);
    endpoint.usable = false;
    return endpoint;
}

endpoint_view suspect(int running)
{
    endpoint_view endpoint = view(running);
    endpoint.suspect = true;
    return endpoint;
}

endpoint_view paced(int running, double gapMs)
{
    endpoint_view endpoint = view(running);
    endpoint.gapMs = gapMs;
    return endpoint;
}

endpoint_view remote(int running)
{
    endpoint_view endpoint = view(running);
    endpoint.local = false;
    return endpoint;
}

endpoint_view foreseen(int running, double extraWork)
{
    endpoint_view endpoint = view(running);
    endpoint.extraWork = extraWork;
    return endpoint;
}

endpoint_view withMemoryUse(int running, double share)
{
    endpoint_view endpoint = view(running);
    endpoint.memoryUse = share;
    return endpoint;
}

INSTANTIATE_TEST_SUITE_P(
    rows, placement_rule,
    testing::Values(
        placement_case {"busier_endpoint_chosen", {view(5), view(4), view(6)}, 1},
        placement_case {"absolute_count_instead_of_share", {view(5, 6), view(6, 12)}, 1},
        placement_case {"full_endpoint_chosen", {view(12), view(11)}, 1},
        placement_case {"request_sent_though_all_are_full", {view(12), view(13)}, std::nullopt},
        placement_case {"leaving_endpoint_chosen", {unusable(), view(11)}, 1},
        placement_case {"nothing_to_choose_from", {}, std::nullopt},
        placement_case {"suspect_preferred_for_its_empty_slots", {suspect(0), view(11)}, 1},
        placement_case {"suspect_left_out_though_all_others_are_full", {suspect(3), view(12)}, 0},
        placement_case {"slow_group_gets_as_much_as_the_fast_one", {paced(3, 200), paced(6, 60)}, 1},
        placement_case {"placements_of_others_since_their_reports_ignored", {foreseen(3, 2.5), view(5)}, 1},
        placement_case {"large_requests_counted_as_average_ones", {foreseen(4, 1.2), view(5)}, 1},
        placement_case {"request_sent_beyond_slots_though_ends_are_foreseen", {foreseen(12, -4), view(11)}, 1},
        placement_case {"request_preempted_for_want_of_memory", {withMemoryUse(2, 0.95), view(8)}, 1},
        placement_case {"full_memory_left_out_though_all_slots_are_full", {withMemoryUse(2, 0.95), view(12)}, 0},
        placement_case {"remote_endpoint_preferred_to_an_equal_local_one", {remote(4), view(4)}, 1},
        placement_case {"local_endpoint_preferred_though_it_is_full", {remote(4), view(11)}, 0}),
    [](const auto &row) { return row.param.name; });

TEST(placement, spreadsRequestsOverEqualEndpoints)
{
    const std::vector<endpoint_view> endpoints(4, view(3));
    std::array<int, 4> chosen {};
    std::mt19937_64 random(7);
    constexpr int draws = 4000;
    for (int draw = 0; draw < draws; ++draw) {
        ++chosen.at(placeRequest(endpoints, 0, random).value());
    }
    for (const int count : chosen) {
        EXPECT_NEAR(count, draws * 0.25, draws * 0.05);
    }
}

/** @returns how often each endpoint is drawn. */
std::vector<double> drawn(const std::vector<endpoint_view> &endpoints, double concurrent)
{
    constexpr int draws = 4000;
    std::vector<double> shares(endpoints.size(), 0.0);
    std::mt19937_64 random(7);
    for (int draw = 0; draw < draws; ++draw) {
        shares.at(placeRequest(endpoints, 0, random, concurrent).value()) += 1.0 / draws;
    }
    return shares;
}

TEST(placement, gatewaysThatChooseTogetherDoNotAllChooseTheSame)
{
    // Six requests raise 2, 3 and 4 to 5.
    const std::vector<endpoint_view> endpoints {view(2), view(3), view(4), view(9)};
    const std::vector<double> shares = drawn(endpoints, 6);
    EXPECT_NEAR(shares[0], 3.0 / 6, 0.03);
    EXPECT_NEAR(shares[1], 2.0 / 6, 0.03);
    EXPECT_NEAR(shares[2], 1.0 / 6, 0.03);
    EXPECT_EQ(shares[3], 0);
}

TEST(placement, aGatewayAloneTakesTheLeastLoaded)
{
    EXPECT_EQ(drawn({view(2), view(3)}, 0)[1], 0);
    EXPECT_EQ(drawn({view(2), view(3)}, 1e-9)[1], 0);
}

TEST(placement, noShareGoesToSuspectFullOrUnusableEndpoints)
{
    const std::vector<double> shares = drawn({suspect(0), view(12), unusable(), view(11)}, 3);
    EXPECT_EQ(shares[0] + shares[1] + shares[2], 0);
}

TEST(placement, sharesAddUpToTheRequests)
{
    const std::vector<endpoint_view> endpoints {view(2, 6), view(3), remote(4), view(11)};
    double sum = 0;
    for (const double share : placementShares(endpoints, 0, 7.5)) {
        EXPECT_GE(share, 0);
        sum += share;
    }
    EXPECT_NEAR(sum, 7.5, 1e-9);
    for (const double share : placementShares(std::vector {view(12)}, 0, 7.5)) {
        EXPECT_EQ(share, 0) << "no endpoint has room";
    }
}

} // namespace

} // namespace bronzechute
