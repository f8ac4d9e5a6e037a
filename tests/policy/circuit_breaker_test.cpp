#include "policy/circuit_breaker.h"

#include <gtest/gtest.h>

#include <functional>

namespace bronzechute {
namespace {

using std::chrono::seconds;

const time_point start {std::chrono::hours(1)};

void answers(circuit_breaker &breaker, std::string_view name, int count, double paceMs)
{
    for (int each = 0; each < count; ++each) {
        breaker.onSent(start, name);
        breaker.onAnswered(start, name, paceMs);
    }
}

void failures(circuit_breaker &breaker, std::string_view name, int count, time_point now = start)
{
    for (int each = 0; each < count; ++each) {
        breaker.onSent(now, name);
        breaker.onFailed(now, name);
    }
}

struct breaker_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(circuit_breaker &)> drive; ///< The pool has six endpoints.
    seconds readAfter; ///< Time after start at which the state of "a" is read.
    breaker_state expected;
};

class breaker_table : public testing::TestWithParam<breaker_row>
{
};

TEST_P(breaker_table, stateOfA)
{
    circuit_breaker breaker;
    breaker.setPoolSize(6);
    GetParam().drive(breaker);
    EXPECT_EQ(breaker.state(start + GetParam().readAfter, "a"), GetParam().expected);
}

constexpr breaker_state in {.ejected = false, .probeAllowed = false};
constexpr breaker_state out {.ejected = true, .probeAllowed = false};
constexpr breaker_state halfOpen {.ejected = true, .probeAllowed = true};

INSTANTIATE_TEST_SUITE_P(
    rows, breaker_table,
    testing::Values(breaker_row {"unknown_ejected", [](auto &) {}, seconds(0), in},
                    breaker_row {"few_failures_eject", [](auto &b) { failures(b, "a", 4); }, seconds(0), in},
                    breaker_row {"success_between_failures_ignored",
                                 [](auto &b) {
                                     failures(b, "a", 4);
                                     answers(b, "a", 1, 20);
                                     failures(b, "a", 4);
                                 },
                                 seconds(0), in},
                    breaker_row {"failing_not_ejected", [](auto &b) { failures(b, "a", 5); }, seconds(1), out},
                    breaker_row {"never_returns", [](auto &b) { failures(b, "a", 5); }, seconds(2), halfOpen},
                    breaker_row {"second_probe_allowed",
                                 [](auto &b) {
                                     failures(b, "a", 5);
                                     b.onSent(start + seconds(2), "a");
                                 },
                                 seconds(3), out},
                    breaker_row {"lost_probe_blocks_for_ever",
                                 [](auto &b) {
                                     failures(b, "a", 5);
                                     b.onSent(start + seconds(2), "a");
                                 },
                                 seconds(12), halfOpen},
                    breaker_row {"refused_probe_blocks",
                                 [](auto &b) {
                                     failures(b, "a", 5);
                                     b.onSent(start + seconds(2), "a");
                                     b.onNeutral("a");
                                 },
                                 seconds(3), halfOpen},
                    breaker_row {"good_probe_does_not_return",
                                 [](auto &b) {
                                     failures(b, "a", 5);
                                     b.onSent(start + seconds(2), "a");
                                     b.onAnswered(start + seconds(3), "a", 20);
                                 },
                                 seconds(3), in},
                    breaker_row {"late_answer_taken_for_the_probe",
                                 [](auto &b) {
                                     failures(b, "a", 5);
                                     b.onAnswered(start + seconds(1), "a", 20);
                                 },
                                 seconds(1), out},
                    breaker_row {"ejection_time_does_not_double",
                                 [](auto &b) {
                                     failures(b, "a", 5);
                                     failures(b, "a", 1, start + seconds(2));
                                 },
                                 seconds(5), out},
                    breaker_row {"too_many_ejected",
                                 [](auto &b) {
                                     failures(b, "b", 5);
                                     failures(b, "c", 5);
                                     failures(b, "a", 5);
                                 },
                                 seconds(0), in},
                    breaker_row {"laggard_stays",
                                 [](auto &b) {
                                     for (const auto *peer : {"b", "c", "d"}) {
                                         answers(b, peer, 10, 20);
                                     }
                                     answers(b, "a", 10, 90);
                                 },
                                 seconds(0), out},
                    breaker_row {"slow_pool_ejects_everyone",
                                 [](auto &b) {
                                     for (const auto *each : {"b", "c", "d", "a"}) {
                                         answers(b, each, 10, 900);
                                     }
                                 },
                                 seconds(0), in},
                    breaker_row {"forgotten_endpoint_counts_as_ejected",
                                 [](auto &b) {
                                     failures(b, "b", 5);
                                     failures(b, "c", 5);
                                     b.forget("b");
                                     failures(b, "a", 5);
                                 },
                                 seconds(0), out}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
