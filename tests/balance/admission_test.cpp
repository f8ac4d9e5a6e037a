#include "balance/admission.h"
#include "balance/completion_rate.h"
#include "balance/recent_minimum.h"
#include "balance/retry_delay.h"
#include "balance/retry_detector.h"
#include "balance/start_deadlines.h"
#include "balance/stream_demand.h"
#include "balance/token_bucket.h"
#include "balance/windowed_retry_budget.h"

#include <gtest/gtest.h>

#include <string>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start {1h};

struct admission_case
{
    std::string name;
    queue_state line;
    std::chrono::milliseconds usefulFor;
    bool admitted;
};

class admission_rule : public testing::TestWithParam<admission_case>
{
};

TEST_P(admission_rule, decides)
{
    waiting_request request;
    request.expiresAt = start + GetParam().usefulFor;
    EXPECT_EQ(admit(GetParam().line, request, start).admitted, GetParam().admitted);
}

INSTANTIATE_TEST_SUITE_P(
    rows, admission_rule,
    testing::Values(
        admission_case {"short_line_refused", {3, 20ms, 0ms, true}, 900ms, true},
        admission_case {"hopeless_request_held", {60, 20ms, 0ms, true}, 900ms, false},
        admission_case {"refused_without_knowing_the_pace", {3, 0ms, 0ms, true}, 900ms, true},
        admission_case {"more_wait_in_an_outage_than_can_start_at_its_end", {12, 20ms, 0ms, false, 12}, 1600ms, false},
        admission_case {"expired_request_waits_in_an_outage", {0, 20ms, 0ms, false, 12}, 0ms, false},
        admission_case {"request_refused_while_a_group_forms", {11, 900ms, 0ms, false, 12}, 1600ms, true},
        admission_case {"late_start_promised_though_first_tries_go_before", {20, 20ms, 15ms, true}, 900ms, false},
        admission_case {"late_start_refused_although_there_is_room", {20, 20ms, 40ms, true}, 900ms, true}),
    [](const auto &row) { return row.param.name; });

struct completion_case
{
    std::string name;
    double events;
    std::chrono::milliseconds interval;
    std::chrono::milliseconds timeLeft;
    bool completes;
};

class completion_rule : public testing::TestWithParam<completion_case>
{
};

TEST_P(completion_rule, decides)
{
    const stream_demand demand {GetParam().events, start + GetParam().timeLeft};
    EXPECT_EQ(canComplete(demand, GetParam().interval, start), GetParam().completes);
}

INSTANTIATE_TEST_SUITE_P(
    rows, completion_rule,
    testing::Values(completion_case {"usual_stream_refused", 28, 60ms, 8000ms, true},
                    completion_case {"late_but_complete_stream_refused", 28, 250ms, 8000ms, true},
                    completion_case {"stream_of_a_group_slowed_down_runs_into_its_deadline", 28, 700ms, 8000ms, false},
                    completion_case {"short_stream_refused_for_the_long_ones", 8, 700ms, 8000ms, true},
                    completion_case {"estimate_taken_for_exact", 28, 300ms, 8000ms, true},
                    completion_case {"complete_stream_refused", 0, 700ms, 100ms, true}),
    [](const auto &row) { return row.param.name; });

struct measured_gap
{
    std::chrono::milliseconds at;
    std::chrono::milliseconds gap;
};

struct minimum_case
{
    std::string name;
    std::vector<measured_gap> gaps;
    std::chrono::milliseconds askedAt;
    std::optional<boot_clock::duration> expected;
};

class minimum_rule : public testing::TestWithParam<minimum_case>
{
};

TEST_P(minimum_rule, follows)
{
    recent_minimum minimum;
    for (const measured_gap &each : GetParam().gaps) {
        minimum.record(each.gap, start + each.at);
    }
    EXPECT_EQ(minimum.value(start + GetParam().askedAt), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    rows, minimum_rule,
    testing::Values(minimum_case {"first_slow_gaps_decide", {{0ms, 700ms}, {700ms, 700ms}}, 800ms, std::nullopt},
                    minimum_case {"shift_of_demand_counts_as_slow",
                                  {{0ms, 60ms}, {900ms, 60ms}, {1100ms, 200ms}, {1500ms, 200ms}},
                                  1500ms,
                                  60ms},
                    minimum_case {"lasting_slowdown_is_not_seen",
                                  {{0ms, 60ms}, {700ms, 700ms}, {1400ms, 600ms}, {2100ms, 700ms}, {2800ms, 700ms}},
                                  2800ms,
                                  600ms},
                    minimum_case {"old_measurement_decides", {{0ms, 700ms}, {1100ms, 700ms}}, 3100ms, std::nullopt}),
    [](const auto &row) { return row.param.name; });

struct retry_delay_case
{
    std::string name;
    refusal_cause cause;
    std::chrono::milliseconds wait;
    std::chrono::milliseconds latest;
    std::chrono::milliseconds lowest;
    std::chrono::milliseconds highest;
};

class retry_delay_rule : public testing::TestWithParam<retry_delay_case>
{
};

TEST_P(retry_delay_rule, staysWithinBounds)
{
    std::mt19937_64 random(3);
    for (int draw = 0; draw < 200; ++draw) {
        const auto time = retryDelay(GetParam().cause, GetParam().wait, GetParam().latest, random);
        EXPECT_GE(time, GetParam().lowest);
        EXPECT_LE(time, GetParam().highest);
    }
}

INSTANTIATE_TEST_SUITE_P(rows, retry_delay_rule,
                         testing::Values(retry_delay_case {"only_further_try_spent_while_nothing_works",
                                                           refusal_cause::unavailable, 0ms, 2600ms, 1800ms, 2600ms},
                                         retry_delay_case {"returns_before_the_line_is_served",
                                                           refusal_cause::overloaded, 2000ms, 2600ms, 1390ms, 2000ms},
                                         retry_delay_case {"told_to_return_after_its_time", refusal_cause::overloaded,
                                                           9000ms, 2600ms, 1800ms, 2600ms},
                                         retry_delay_case {"returns_at_once_when_no_time_is_left",
                                                           refusal_cause::unavailable, 0ms, 0ms, 50ms, 50ms}),
                         [](const auto &row) { return row.param.name; });

TEST(retry_delay, addsJitter)
{
    std::mt19937_64 random(3);
    const auto first = retryDelay(refusal_cause::unavailable, 0ms, 2600ms, random);
    const auto second = retryDelay(refusal_cause::unavailable, 0ms, 2600ms, random);
    EXPECT_NE(first, second);
}

// An endpoint in cold start tolerates a limited number of requests in any second. Burst and refill together must not
// exceed it.
TEST(token_bucket, boundsEachSecond)
{
    constexpr double perSecond = 9;
    constexpr double burst = 5;
    token_bucket bucket;
    bucket.configure(perSecond, burst);
    std::vector<time_point> sent;
    for (time_point now = start; now < start + 5s; now += 10ms) {
        if (bucket.available(now)) {
            bucket.take(now);
            sent.push_back(now);
        }
    }
    for (std::size_t first = 0; first < sent.size(); ++first) {
        std::size_t within = 0;
        for (std::size_t next = first; next < sent.size() && sent[next] < sent[first] + 1s; ++next) {
            ++within;
        }
        EXPECT_LE(within, static_cast<std::size_t>(perSecond + burst));
    }
    EXPECT_GE(sent.size(), 45U);
}

TEST(token_bucket, isUnlimitedAtRateZero)
{
    token_bucket bucket;
    for (int count = 0; count < 1000; ++count) {
        ASSERT_TRUE(bucket.available(start));
        bucket.take(start);
    }
}

TEST(windowed_retry_budget, limitsRetriesInTheWindow)
{
    windowed_retry_budget budget({10s, 0.2, 3}, start - 10s);
    for (int count = 0; count < 50; ++count) {
        budget.onRequest(start);
    }
    int allowed = 0;
    while (budget.tryTake(start + 1s)) {
        ++allowed;
    }
    EXPECT_EQ(allowed, 13);
    EXPECT_FALSE(budget.tryTake(start + 9s));
    EXPECT_TRUE(budget.tryTake(start + 12s)); // The window has passed, so the fixed number is available again.
}

struct start_case
{
    std::string name;
    start_conditions conditions;
    start_deadlines expected; ///< Result for a request that is queued 100 ms after its arrival.
};

class start_limit_rule : public testing::TestWithParam<start_case>
{
};

TEST_P(start_limit_rule, follow)
{
    EXPECT_EQ(startDeadlines(GetParam().conditions, start + 100ms), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(rows, start_limit_rule,
                         testing::Values(start_case {"first_try_waits_for_long",
                                                     {start, 400ms, 220ms, start + 8s, false},
                                                     {start + 180ms, start + 1000ms}},
                                         start_case {"start_at_the_deadline",
                                                     {start, 100ms, 50ms, start + 600ms, false},
                                                     {start + 50ms, start + 550ms}},
                                         start_case {"first_try_is_refused_early_in_an_outage",
                                                     {start, 400ms, 220ms, start + 8s, false, true},
                                                     {start + 180ms, start + 1700ms}},
                                         start_case {"return_counts_as_in_time",
                                                     {start, 400ms, 220ms, start + 5s, true},
                                                     {time_point::min(), start + 1700ms}}),
                         [](const auto &row) { return row.param.name; });

TEST(retry_detector, reportsNoRetriesBeforeEnoughRequests)
{
    retry_detector timeouts;
    EXPECT_FALSE(timeouts.isRetry(8000ms));
    EXPECT_FALSE(timeouts.isRetry(5000ms));
}

TEST(retry_detector, detectsRetriesByRemainingTimeout)
{
    retry_detector timeouts;
    for (int count = 0; count < 20; ++count) {
        EXPECT_FALSE(timeouts.isRetry(8000ms));
    }
    EXPECT_TRUE(timeouts.isRetry(5310ms));
    EXPECT_TRUE(timeouts.isRetry(7790ms));
    EXPECT_FALSE(timeouts.isRetry(8000ms));
}

TEST(retry_detector, acceptsSeveralConfiguredTimeouts)
{
    retry_detector timeouts;
    for (int count = 0; count < 20; ++count) {
        timeouts.isRetry(8000ms);
        timeouts.isRetry(4000ms);
    }
    EXPECT_FALSE(timeouts.isRetry(4000ms));
    EXPECT_TRUE(timeouts.isRetry(6123ms));
}

TEST(completion_rate, isUnknownAtFirstAndGrowsWithoutCompletions)
{
    completion_rate rate;
    EXPECT_EQ(rate.interval(start), boot_clock::duration::zero());
    for (int count = 0; count < 10; ++count) {
        rate.record(start + count * 20ms);
    }
    EXPECT_NEAR(std::chrono::duration<double>(rate.interval(start + 200ms)).count(), 0.02, 0.001);
    EXPECT_GT(rate.interval(start + 2s), rate.interval(start + 200ms));
}

} // namespace

} // namespace bronzechute
