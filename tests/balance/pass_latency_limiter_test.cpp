#include "balance/pass_latency_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start(1h);
constexpr pass_latency_model model {35.0, 2.8, 10.0, 120ms};

struct limit_row
{
    std::string name;
    double gapMs;
    double running;
    double lowest;
    double highest;
};

class pass_limit : public testing::TestWithParam<limit_row>
{
};

TEST_P(pass_limit, followsTheLongestPass)
{
    pass_latency_limiter pace;
    const auto gap =
        std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(GetParam().gapMs));
    for (int count = 0; count < 60; ++count) {
        pace.record(gap, GetParam().running, start + count * 10ms);
    }
    const double limit = pace.limit(model, start + 600ms);
    EXPECT_GE(limit, GetParam().lowest);
    EXPECT_LE(limit, GetParam().highest);
}

INSTANTIATE_TEST_SUITE_P(rows, pass_limit,
                         testing::Values(limit_row {"short_passes_limit_the_requests", 70, 8, 10, 10},
                                         limit_row {"all_streams_become_late_in_full_engines", 148, 10, 5, 9},
                                         limit_row {"present_requests_exceed_the_limit", 120, 7, 6, 7},
                                         limit_row {"slow_engines_lose_half_of_their_answers", 600, 10, 10, 10}),
                         [](const auto &row) { return row.param.name; });

TEST(pass_latency_limiter, doesNotLimitAfterFewEvents)
{
    pass_latency_limiter pace;
    pace.record(500ms, 10, start);
    pace.record(500ms, 10, start + 200ms);
    EXPECT_EQ(pace.limit(model, start + 400ms), model.slots);
}

TEST(pass_latency_limiter, ignoresOldPasses)
{
    pass_latency_limiter pace;
    for (int count = 0; count < 60; ++count) {
        pace.record(148ms, 10, start + count * 10ms);
    }
    EXPECT_LT(pace.limit(model, start + 1s), model.slots);
    EXPECT_EQ(pace.limit(model, start + 10s), model.slots);
}

TEST(pass_latency_limiter, doesNotLimitWithoutADeclaredGap)
{
    pass_latency_limiter pace;
    for (int count = 0; count < 60; ++count) {
        pace.record(148ms, 10, start + count * 10ms);
    }
    EXPECT_EQ(pace.limit({35.0, 2.8, 10.0, 0ms}, start + 1s), model.slots);
}

/**
 * Simulates a group of engines that also gets the load of a failed group: more requests than it can run, and demand for
 * experts that shifts every 3.8 s and is followed by a new expert map after 0.6 s.
 *
 * @param limited whether pass_latency_limiter limits the concurrent requests
 * @returns requests that completed without a gap beyond the accepted one
 */
int inTimeInOverload(bool limited)
{
    constexpr auto shiftInterval = 3800ms;
    constexpr auto mapDelay = 600ms;
    constexpr double shiftedFactor = 2.05;
    constexpr double balancedFactor = 1.3;
    constexpr int eventsPerRequest = 23;
    struct running_request
    {
        int eventsLeft = eventsPerRequest;
        bool late = false;
    };
    pass_latency_limiter pace;
    std::vector<running_request> running;
    int inTime = 0;
    for (time_point now = start; now < start + 40s;) {
        const double limit = limited ? pace.limit(model, now) : model.slots;
        while (static_cast<double>(running.size()) + 1 <= limit) {
            running.emplace_back();
        }
        const bool shifted = (now - start) % shiftInterval < mapDelay;
        const double passMs = (shifted ? shiftedFactor : balancedFactor)
            * (model.stepMs + model.stepMsPerRequest * static_cast<double>(running.size()));
        const auto pass =
            std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(passMs));
        now += pass;
        for (running_request &request : running) {
            request.late = request.late || pass > model.gapTarget;
            --request.eventsLeft;
            pace.record(pass, static_cast<double>(running.size()), now);
        }
        inTime += static_cast<int>(std::ranges::count_if(
            running, [](const running_request &request) { return request.eventsLeft == 0 && !request.late; }));
        std::erase_if(running, [](const running_request &request) { return request.eventsLeft == 0; });
    }
    return inTime;
}

TEST(pass_latency_limiter, completesMoreInTimeThanFullEnginesWhileDemandShifts)
{
    EXPECT_GT(inTimeInOverload(true), 5 * inTimeInOverload(false) / 4);
}

} // namespace

} // namespace bronzechute
