#include "policy/retry_after_estimate.h"
#include "policy/retry_budget.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct budget_row
{
    const char *name; ///< The failure that the row guards against.
    int requests; ///< One per millisecond, each followed by an attempt to retry.
    std::chrono::seconds idleBefore;
    int minExpected; ///< Number of allowed retries.
    int maxExpected;
};

class budget_table : public testing::TestWithParam<budget_row>
{
};

TEST_P(budget_table, allowsShareAndFloor)
{
    retry_budget budget;
    time_point now {std::chrono::hours(1)};
    budget.onRequest(now);
    now += GetParam().idleBefore;
    int retries = 0;
    for (int request = 0; request < GetParam().requests; ++request) {
        now += std::chrono::milliseconds(1);
        budget.onRequest(now);
        retries += budget.tryTake(now) ? 1 : 0;
    }
    EXPECT_GE(retries, GetParam().minExpected);
    EXPECT_LE(retries, GetParam().maxExpected);
}

INSTANTIATE_TEST_SUITE_P(rows, budget_table,
                         testing::Values(budget_row {"lone_failure_not_retried", 1, std::chrono::seconds(0), 1, 1},
                                         budget_row {"retry_storm", 10000, std::chrono::seconds(0), 1000, 1010},
                                         budget_row {"quiet_time_saves_up_a_burst", 100, std::chrono::hours(1), 10,
                                                     14}),
                         [](const auto &row) { return std::string(row.param.name); });

struct estimate_row
{
    const char *name; ///< The failure that the row guards against.
    int queued;
    int limit;
    double meanServiceMs;
    int minExpected; ///< Estimate in seconds.
    int maxExpected;
};

class estimate_table : public testing::TestWithParam<estimate_row>
{
};

TEST_P(estimate_table, staysInRange)
{
    std::mt19937_64 random(1);
    for (int draw = 0; draw < 200; ++draw) {
        const auto &row = GetParam();
        const auto estimate = retryAfterEstimate(row.queued, row.limit, row.meanServiceMs, random).count();
        EXPECT_GE(estimate, row.minExpected);
        EXPECT_LE(estimate, row.maxExpected);
    }
}

INSTANTIATE_TEST_SUITE_P(rows, estimate_table,
                         testing::Values(estimate_row {"zero_invites_immediate_return", 0, 100, 1, 1, 1},
                                         estimate_row {"unknown_service_time_gives_zero", 0, 1, 0, 1, 2},
                                         estimate_row {"long_queue_ignored", 99, 10, 1000, 8, 13},
                                         estimate_row {"endless_wait", 1000000, 1, 1000, 60, 60},
                                         estimate_row {"zero_limit_divides", 3, 0, 1000, 3, 5}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
