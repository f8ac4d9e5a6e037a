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

TEST_P(redirect_rule, leavesCallersOnlyToOthersThatCanServeThem)
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

TEST(caller_redirect, takesCallersAgainWhenOthersAreInReach)
{
    caller_redirect redirect;
    redirect.update(true, true, start);
    EXPECT_FALSE(redirect.update(true, true, start + 1s));
    EXPECT_TRUE(redirect.update(false, true, start + 2s));
    EXPECT_FALSE(redirect.active());
}

struct return_row
{
    std::string name;
    boot_clock::duration since;
    boot_clock::duration latest;
    std::chrono::milliseconds lowest;
    std::chrono::milliseconds highest;
};

class redirect_return : public testing::TestWithParam<return_row>
{
};

TEST_P(redirect_return, isWhenOthersAreReached)
{
    caller_redirect redirect;
    redirect.update(true, true, start);
    std::mt19937_64 random(7);
    for (int draw = 0; draw < 100; ++draw) {
        const auto wait = redirect.returnAfter(start + GetParam().since, GetParam().latest, random);
        EXPECT_GE(wait, GetParam().lowest);
        EXPECT_LE(wait, GetParam().highest);
    }
}

// The balancer leaves a gateway out after two checks, one a second.
INSTANTIATE_TEST_SUITE_P(rows, redirect_return,
                         testing::Values(return_row {"returns_before_the_balancer_has_noticed", 0s, 2600ms, 2000ms,
                                                     2600ms},
                                         return_row {"waits_although_others_are_reached", 3s, 2600ms, 50ms, 300ms},
                                         return_row {"told_to_return_after_its_time", 0s, 200ms, 50ms, 200ms}),
                         [](const auto &row) { return row.param.name; });

} // namespace

} // namespace bronzechute
