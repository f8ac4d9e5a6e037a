#include "request/attempt_registry.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;

constexpr auto retention = 60s;
const attempt_id id {{1, 2}, 1};

struct registry_row
{
    const char *name; ///< The failure that the row guards against.
    /// a: arrive, s: start, c: cancel, f: finish, n: finishWithoutRun, w: wait for longer than the retention time.
    std::string steps;
    /// One result per step. arrive: F fresh, D duplicate, C cancelled; start and cancel: 1 true, 0 false; others: '-'.
    std::string answers;
};

class attempt_registry_rows : public testing::TestWithParam<registry_row>
{
};

char apply(attempt_registry &attempts, char step, time_point &now)
{
    now += 1ms;
    switch (step) {
    case 'a': {
        const arrival seen = attempts.registerAttempt(id, now);
        return seen == arrival::fresh ? 'F' : seen == arrival::duplicate ? 'D' : 'C';
    }
    case 's':
        return attempts.start(id) ? '1' : '0';
    case 'c':
        return attempts.cancel(id, now) ? '1' : '0';
    case 'f':
        attempts.finish(id, now);
        return '-';
    case 'n':
        attempts.finishWithoutRun(id, now);
        return '-';
    default:
        now += retention + 1s;
        attempts.expire(now);
        return '-';
    }
}

TEST_P(attempt_registry_rows, neverStartTwiceOrAfterACancel)
{
    attempt_registry attempts(retention);
    time_point now(1h);
    std::string answers;
    for (const char step : GetParam().steps) {
        answers += apply(attempts, step, now);
    }
    EXPECT_EQ(answers, GetParam().answers);
}

INSTANTIATE_TEST_SUITE_P(rows, attempt_registry_rows,
                         testing::Values(registry_row {"second_copy_runs", "asa", "F1D"},
                                         registry_row {"copy_after_the_end_runs", "asfa", "F1-D"},
                                         registry_row {"submit_after_cancel_runs", "ca", "0C"},
                                         registry_row {"queued_attempt_runs_after_cancel", "acs", "F00"},
                                         registry_row {"started_attempt_reported_as_not_run", "asc", "F11"},
                                         registry_row {"ended_attempt_reported_as_not_run", "asfc", "F1-1"},
                                         registry_row {"refused_start_reported_as_run", "asnca", "F1-0C"},
                                         registry_row {"second_cancel_reports_a_start", "cc", "00"},
                                         registry_row {"running_attempt_forgotten", "aswa", "F1-D"},
                                         registry_row {"registry_grows_for_ever", "caw", "0C-"}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(attempt_registry, removesAttemptsAfterTheRetentionTime)
{
    attempt_registry attempts(retention);
    const time_point now(1h);
    attempts.cancel(id, now);
    EXPECT_EQ(attempts.size(), 1U);
    attempts.expire(now + retention);
    EXPECT_EQ(attempts.size(), 0U);
}

} // namespace
} // namespace bronzechute
