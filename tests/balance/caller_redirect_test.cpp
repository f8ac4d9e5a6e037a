#include "balance/caller_redirect.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start(1h);

struct redirect_row
{
    std::string name;
    bool cutOff;
    bool serviceFails;
    bool active;
};

class redirect_rule : public testing::TestWithParam<redirect_row>
{
};

TEST_P(redirect_rule, redirectsOnlyToGatewaysThatCanServe)
{
    caller_redirect redirect;
    EXPECT_EQ(redirect.update(GetParam().cutOff, GetParam().serviceFails, start), GetParam().active);
    EXPECT_EQ(redirect.active(), GetParam().active);
}

INSTANTIATE_TEST_SUITE_P(rows, redirect_rule,
                         testing::Values(redirect_row {"cut_off_callers_stay_without_answers", true, true, true},
                                         redirect_row {"working_endpoints_are_left_unused", true, false, false},
                                         redirect_row {"failing_service_empties_every_gateway", false, true, false}),
                         [](const auto &row) { return row.param.name; });

TEST(caller_redirect, endsWhenOtherGatewaysAreReachable)
{
    caller_redirect redirect;
    redirect.update(true, true, start);
    EXPECT_FALSE(redirect.update(true, true, start + 1s));
    EXPECT_TRUE(redirect.update(false, true, start + 2s));
    EXPECT_FALSE(redirect.active());
}

struct redirect_delay_row
{
    std::string name;
    boot_clock::duration since;
    boot_clock::duration latest;
    std::chrono::milliseconds lowest;
    std::chrono::milliseconds highest;
};

class redirect_delay_rule : public testing::TestWithParam<redirect_delay_row>
{
};

TEST_P(redirect_delay_rule, lastsUntilTheBalancerReroutes)
{
    caller_redirect redirect;
    redirect.update(true, true, start);
    std::mt19937_64 random(7);
    for (int draw = 0; draw < 100; ++draw) {
        const auto wait = redirect.retryDelay(start + GetParam().since, GetParam().latest, random);
        EXPECT_GE(wait, GetParam().lowest);
        EXPECT_LE(wait, GetParam().highest);
    }
}

// The load balancer checks readiness once a second and removes a gateway after two negative results.
INSTANTIATE_TEST_SUITE_P(
    rows, redirect_delay_rule,
    testing::Values(redirect_delay_row {"returns_before_the_balancer_has_noticed", 0s, 2600ms, 2000ms, 2600ms},
                    redirect_delay_row {"waits_although_others_are_reached", 3s, 2600ms, 50ms, 300ms},
                    redirect_delay_row {"told_to_return_after_its_time", 0s, 200ms, 50ms, 200ms}),
    [](const auto &row) { return row.param.name; });

} // namespace

} // namespace bronzechute
