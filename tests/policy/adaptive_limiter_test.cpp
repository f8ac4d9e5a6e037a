#include "policy/adaptive_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>

namespace bronzechute {
namespace {

using std::chrono::milliseconds;

/** Drives a limiter with responses of 20 tokens. */
struct driver
{
    adaptive_limiter limiter;
    time_point now {std::chrono::hours(1)};

    /** Runs as many concurrent requests as the limit allows, count times in sequence. */
    void rounds(int count, milliseconds token, answer_outcome outcome = answer_outcome::answered)
    {
        for (int round = 0; round < count; ++round) {
            run(limiter.limit(now), token, outcome);
        }
    }

    void run(int concurrent, milliseconds token, answer_outcome outcome = answer_outcome::answered)
    {
        const answer_sample sample {.outcome = outcome,
                                    .firstToken = milliseconds(100),
                                    .service = milliseconds(100) + 19 * token,
                                    .tokens = 20};
        for (int each = 0; each < concurrent; ++each) {
            limiter.onStarted(now);
        }
        now += sample.service;
        for (int each = 0; each < concurrent; ++each) {
            limiter.onFinished(now, sample);
        }
    }

    void call(milliseconds service)
    {
        limiter.onStarted(now);
        now += service;
        limiter.onFinished(now, {.firstToken = service, .service = service, .tokens = 1});
    }

    void remember(double tokenSeconds, double callSeconds = 0)
    {
        limiter.onRememberedPace(now, {tokenSeconds, callSeconds});
    }

    void report(const char *startId, double running = 0, double waiting = 0)
    {
        limiter.onLoadReport(now, {.reachable = true, .startId = startId, .running = running, .waiting = waiting});
    }
};

struct limiter_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(driver &)> drive;
    int minLimit;
    int maxLimit;
    bool cold;
};

class limiter_table : public testing::TestWithParam<limiter_row>
{
};

TEST_P(limiter_table, limitAndColdness)
{
    driver drive {.limiter = adaptive_limiter({.maximum = 32, .initial = 16})};
    GetParam().drive(drive);
    EXPECT_GE(drive.limiter.limit(drive.now), GetParam().minLimit);
    EXPECT_LE(drive.limiter.limit(drive.now), GetParam().maxLimit);
    EXPECT_EQ(drive.limiter.cold(), GetParam().cold);
}

constexpr milliseconds fast(20);
constexpr milliseconds slow(200);

INSTANTIATE_TEST_SUITE_P(
    rows, limiter_table,
    testing::Values(
        limiter_row {"starts_warm", [](driver &) {}, 1, 1, true},
        limiter_row {"proof_does_not_double", [](driver &d) { d.rounds(1, fast); }, 2, 2, true},
        limiter_row {"answers_of_one_round_double_repeatedly", [](driver &d) { d.rounds(3, fast); }, 8, 8, true},
        limiter_row {"never_becomes_warm", [](driver &d) { d.rounds(4, fast); }, 16, 17, false},
        limiter_row {"engine_at_the_target_stays_cold", [](driver &d) { d.rounds(6, milliseconds(67)); }, 17, 32,
                     false},
        limiter_row {"warm_speed_lost_with_the_process",
                     [](driver &d) {
                         d.limiter.onLoadReport(d.now, {true, "", 0, 0, 0, 1000, 0.01});
                         d.rounds(3, milliseconds(40));
                     },
                     1, 1, true},
        limiter_row {"speed_learned_from_a_few_tokens",
                     [](driver &d) {
                         d.limiter.onLoadReport(d.now, {true, "", 0, 0, 0, 10, 0.01});
                         d.rounds(1, milliseconds(40));
                     },
                     2, 2, true},
        limiter_row {"remembered_speed_ignored",
                     [](driver &d) {
                         d.remember(0.01);
                         d.rounds(3, milliseconds(40));
                     },
                     1, 1, true},
        limiter_row {"remembered_speed_of_calls_ignored",
                     [](driver &d) {
                         d.remember(0, 0.03);
                         d.call(milliseconds(120));
                         d.call(milliseconds(120));
                     },
                     1, 1, true},
        limiter_row {"remembered_speed_rejects_warm_answers",
                     [](driver &d) {
                         d.remember(0.02);
                         d.rounds(4, fast);
                     },
                     16, 17, false},
        limiter_row {"proofs_from_before_the_message_count",
                     [](driver &d) {
                         d.rounds(2, milliseconds(40));
                         d.remember(0.01);
                     },
                     1, 1, true},
        limiter_row {"message_after_a_false_ramp_ignored",
                     [](driver &d) {
                         d.rounds(4, milliseconds(40));
                         d.remember(0.01);
                     },
                     1, 1, true},
        limiter_row {"old_message_makes_warm_engine_cold",
                     [](driver &d) {
                         d.rounds(4, milliseconds(40));
                         d.now += std::chrono::seconds(11);
                         d.remember(0.01);
                     },
                     16, 20, false},
        limiter_row {"message_overrides_the_processs_own_speed",
                     [](driver &d) {
                         d.rounds(4, fast);
                         d.now += std::chrono::seconds(11);
                         d.limiter.markCold(d.now);
                         d.remember(0.001);
                         d.rounds(2, fast);
                     },
                     4, 4, true},
        limiter_row {"slower_of_two_memories_wins",
                     [](driver &d) {
                         d.remember(0.01);
                         d.remember(0.04);
                         d.rounds(2, milliseconds(40));
                     },
                     1, 1, true},
        limiter_row {"slower_replacement_stays_cold_for_ever",
                     [](driver &d) {
                         d.remember(0.01);
                         d.rounds(30, milliseconds(40));
                     },
                     4, 32, false},
        limiter_row {"faster_replacement_measured_against_the_old_engine",
                     [](driver &d) {
                         d.remember(0.04);
                         d.limiter.onLoadReport(d.now, {true, "", 0, 0, 0, 1000, 0.01});
                         d.rounds(3, milliseconds(40));
                     },
                     1, 1, true},
        limiter_row {"calls_wear_down_the_speed_of_streams",
                     [](driver &d) {
                         d.rounds(8, fast);
                         d.limiter.markCold(d.now);
                         for (int each = 0; each < 20; ++each) {
                             d.call(milliseconds(500));
                         }
                         d.rounds(2, 3 * fast);
                     },
                     1, 1, true},
        limiter_row {"slow_answer_counts_as_proof", [](driver &d) { d.rounds(5, slow); }, 1, 1, true},
        limiter_row {"ramps_cut_short_wear_down_the_warm_speed",
                     [](driver &d) {
                         d.rounds(4, fast);
                         for (int each = 0; each < 4; ++each) {
                             d.limiter.markCold(d.now);
                             d.rounds(3, 3 * fast);
                         }
                     },
                     1, 1, true},
        limiter_row {"failure_counts_as_proof", [](driver &d) { d.rounds(5, fast, answer_outcome::failed); }, 1, 1,
                     true},
        limiter_row {"cancellation_counts_as_proof", [](driver &d) { d.rounds(5, fast, answer_outcome::cancelled); }, 1,
                     1, true},
        limiter_row {"failure_keeps_cap",
                     [](driver &d) {
                         d.rounds(3, fast);
                         d.run(1, fast, answer_outcome::failed);
                     },
                     4, 4, true},
        limiter_row {"one_answer_proves_a_high_cap",
                     [](driver &d) {
                         d.rounds(2, fast);
                         for (int each = 0; each < 4; ++each) {
                             d.limiter.onStarted(d.now);
                         }
                         d.now += milliseconds(480);
                         d.limiter.onFinished(
                             d.now, {.firstToken = milliseconds(100), .service = milliseconds(480), .tokens = 20});
                     },
                     4, 4, true},
        limiter_row {"idle_engine_proves_a_high_cap",
                     [](driver &d) {
                         d.rounds(2, fast);
                         d.run(1, fast);
                         d.run(1, fast);
                     },
                     4, 4, true},
        limiter_row {"restart_stays_warm",
                     [](driver &d) {
                         d.report("first");
                         d.rounds(8, fast);
                         d.report("second");
                     },
                     1, 1, true},
        limiter_row {"first_report_or_lost_report_makes_cold",
                     [](driver &d) {
                         d.rounds(8, fast);
                         d.report("first");
                         d.limiter.onLoadReport(d.now, {});
                         d.report("first");
                     },
                     16, 32, false},
        limiter_row {"drop_in_speed_stays_warm",
                     [](driver &d) {
                         d.rounds(8, fast);
                         d.run(3, slow);
                     },
                     1, 1, true},
        limiter_row {"one_slow_answer_makes_cold",
                     [](driver &d) {
                         d.rounds(8, fast);
                         d.run(1, slow);
                     },
                     16, 32, false},
        limiter_row {"answer_from_before_the_mark_is_proof",
                     [](driver &d) {
                         d.rounds(8, fast);
                         d.limiter.onStarted(d.now);
                         d.limiter.markCold(d.now + milliseconds(10));
                         d.now += milliseconds(480);
                         d.limiter.onFinished(
                             d.now, {.firstToken = milliseconds(100), .service = milliseconds(480), .tokens = 20});
                     },
                     1, 1, true},
        limiter_row {"slower_for_good_stays_cold_for_ever",
                     [](driver &d) {
                         d.rounds(8, fast);
                         d.run(3, milliseconds(62));
                         d.rounds(30, milliseconds(62));
                     },
                     4, 32, false},
        limiter_row {"slow_calls_of_a_service_make_cold",
                     [](driver &d) {
                         d.rounds(8, fast);
                         d.call(milliseconds(500));
                         d.call(milliseconds(500));
                         d.call(milliseconds(500));
                     },
                     16, 32, false},
        limiter_row {"grows_above_maximum", [](driver &d) { d.rounds(500, fast); }, 32, 32, false},
        limiter_row {"requests_between_two_steps_lower",
                     [](driver &d) {
                         d.rounds(500, fast);
                         for (int report = 0; report < 10; ++report) {
                             d.now += milliseconds(1000);
                             for (int each = 0; each < 10; ++each) {
                                 d.limiter.onStarted(d.now);
                             }
                             d.now += milliseconds(5);
                             d.report("first", 32, 10);
                         }
                     },
                     32, 32, false},
        limiter_row {"steady_arrivals_hide_the_engine_queue",
                     [](driver &d) {
                         d.rounds(500, fast);
                         for (int report = 0; report < 10; ++report) {
                             for (int each = 0; each < 20; ++each) {
                                 d.now += milliseconds(50);
                                 d.limiter.onStarted(d.now);
                             }
                             d.report("first", 10, 10);
                         }
                     },
                     10, 12, false},
        limiter_row {"engine_queue_does_not_lower",
                     [](driver &d) {
                         d.rounds(500, fast);
                         for (int report = 0; report < 10; ++report) {
                             d.now += milliseconds(1000);
                             d.report("first", 10, 10);
                         }
                     },
                     10, 12, false}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against losing the remembered speed when a process is restarted twice within a cold start, and against
// reporting the engine's mean, which includes cold steps, as the warm speed.
TEST(adaptive_limiter, reportsMeasuredAndRememberedPacesOnly)
{
    driver drive;
    drive.limiter.onLoadReport(drive.now, {true, "", 0, 0, 0, 1000, 0.01});
    EXPECT_EQ(drive.limiter.warmPace(), warm_pace {});
    drive.remember(0.02, 0.3);
    EXPECT_EQ(drive.limiter.warmPace(), (warm_pace {0.02, 0.3}));
    drive.rounds(2, slow);
    EXPECT_EQ(drive.limiter.warmPace(), (warm_pace {0.02, 0.3}));
}

// Guards against a limit outside 1..maximum after any sequence of events.
RC_GTEST_PROP(limiter_property, staysBetweenOneAndMaximum, ())
{
    const int maximum = *rc::gen::inRange(1, 100);
    adaptive_limiter limiter({.maximum = maximum, .initial = *rc::gen::inRange(1, 200)});
    time_point now {std::chrono::hours(1)};
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100000));
    for (const int event : events) {
        now += milliseconds(event % 997);
        const int before = limiter.limit(now);
        const bool wasCold = limiter.cold();
        switch (event % 7) {
        case 0:
            limiter.markCold(now);
            break;
        case 1:
            limiter.onLoadReport(now,
                                 {.reachable = true,
                                  .startId = event % 11 == 0 ? "x" : "y",
                                  .running = 1.0,
                                  .waiting = static_cast<double>(event % 50)});
            break;
        case 2:
        case 3:
            limiter.onStarted(now);
            break;
        default:
            limiter.onFinished(now,
                               {.outcome = event % 13 == 0 ? answer_outcome::failed : answer_outcome::answered,
                                .firstToken = milliseconds(event % 2000),
                                .service = milliseconds(event % 2000 + event % 3001),
                                .tokens = event % 40});
        }
        const int after = limiter.limit(now);
        RC_ASSERT(after >= 1);
        RC_ASSERT(after <= maximum);
        RC_ASSERT(!wasCold || after <= 2 * before);
    }
}

} // namespace
} // namespace bronzechute
