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

INSTANTIATE_TEST_SUITE_P(
    rows, placement_rule,
    testing::Values(placement_case {"busier_endpoint_chosen", {view(5), view(4), view(6)}, 1},
                    placement_case {"absolute_count_instead_of_share", {view(5, 6), view(6, 12)}, 1},
                    placement_case {"full_endpoint_chosen", {view(12), view(11)}, 1},
                    placement_case {"request_sent_though_all_are_full", {view(12), view(13)}, std::nullopt},
                    placement_case {"leaving_endpoint_chosen", {unusable(), view(11)}, 1},
                    placement_case {"nothing_to_choose_from", {}, std::nullopt},
                    placement_case {"suspect_preferred_for_its_empty_slots", {suspect(0), view(11)}, 1},
                    placement_case {"suspect_left_out_though_all_others_are_full", {suspect(3), view(12)}, 0},
                    placement_case {"slow_group_gets_as_much_as_the_fast_one", {paced(3, 200), paced(6, 60)}, 1},
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

} // namespace

} // namespace bronzechute
