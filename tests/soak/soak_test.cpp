#include "soak/soak_evidence.h"
#include "soak/soak_plan.h"
#include "soak/soak_run.h"

#include <gtest/gtest.h>

#include <functional>

namespace bronzechute::soak {

namespace {

using namespace std::chrono_literals;

const time_point start(1h);

/** @returns what a short, faultless run leaves. */
soak_evidence cleanEvidence()
{
    soak_evidence evidence;
    evidence.calls = {{"a", call_kind::read, "gateway-0", start, start + 20ms, 200, true, true},
                      {"b", call_kind::order, "gateway-0", start + 1s, start + 1020ms, 200, true, true},
                      {"c", call_kind::order, "gateway-0", start + 2s, start + 2020ms, 503, true, true},
                      {"d", call_kind::stream, "gateway-0", start + 9s, start + 9300ms, 200, true, true}};
    evidence.runs = {{"a", "office"}, {"b", "office"}, {"d", "office"}, {"a", "office"}};
    evidence.probes = {{"gateway-0", 1, 2, 2, start + 3s, start + 3010ms, 200},
                       {"gateway-0", 1, 2, 3, start + 4s, start + 4010ms, 200}};
    evidence.acknowledged = {{2, start + 2s}};
    evidence.disturbances = {{"gateway-1", start, start + 1s}};
    evidence.calmFrom = start + 8s;
    return evidence;
}

struct broken_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(soak_evidence &)> breakIt;
    const char *finding; ///< Begin of the line that has to be found; empty: nothing may be found.
};

class soak_findings : public testing::TestWithParam<broken_row>
{
};

TEST_P(soak_findings, nameTheBrokenPromise)
{
    soak_evidence evidence = cleanEvidence();
    GetParam().breakIt(evidence);
    const auto findings = findingsOf(evidence);
    const std::string expected = GetParam().finding;
    if (expected.empty()) {
        EXPECT_TRUE(findings.empty()) << findings.front();
        return;
    }
    ASSERT_EQ(findings.size(), 1U);
    EXPECT_TRUE(findings.front().starts_with(expected)) << findings.front();
}

INSTANTIATE_TEST_SUITE_P(
    rows, soak_findings,
    testing::Values(
        broken_row {"clean_run_is_blamed", [](soak_evidence &) {}, ""},
        broken_row {"order_that_ran_twice",
                    [](soak_evidence &each) {
                        each.runs.push_back({"b", "office"});
                    },
                    "run twice: b"},
        broken_row {"refused_order_that_ran",
                    [](soak_evidence &each) {
                        each.runs.push_back({"c", "office"});
                    },
                    "refused as not run"},
        broken_row {"mixed_answer", [](soak_evidence &each) { each.calls[0].genuine = false; },
                    "not the endpoint's whole answer: a"},
        broken_row {"denied_request", [](soak_evidence &each) { each.calls[0].status = 404; }, "proper request denied"},
        broken_row {"refusal_in_the_calm", [](soak_evidence &each) { each.calls[3].status = 503; },
                    "not served in the calm"},
        broken_row {"cut_answer_in_the_calm", [](soak_evidence &each) { each.calls[3].status = 0; },
                    "not served in the calm"},
        broken_row {"late_answer_in_the_calm", [](soak_evidence &each) { each.calls[3].endedAt = start + 14s; },
                    "not served in the calm"},
        broken_row {"order_that_a_planned_stop_cuts",
                    [](soak_evidence &each) {
                        each.plannedStops = {{"gateway-0", start + 900ms, start + 4s}};
                        each.calls[1].status = 0;
                    },
                    "run, and not answered because of a planned stop: b"},
        broken_row {"refusal_by_a_gateway_that_stops_is_blamed",
                    [](soak_evidence &each) {
                        each.plannedStops = {{"gateway-0", start + 8s, start + 12s}};
                        each.calls[3].status = 503;
                    },
                    ""},
        broken_row {"run_without_a_caller",
                    [](soak_evidence &each) {
                        each.runs.push_back({"x", "office"});
                    },
                    "run that nobody asked for"},
        broken_row {"run_for_another_account", [](soak_evidence &each) { each.runs[0].account = "other"; },
                    "run for another client account"},
        broken_row {"configuration_that_goes_back",
                    [](soak_evidence &each) {
                        each.probes.push_back({"gateway-0", 1, 2, 3, start + 5s, start + 5010ms, 404});
                        each.acknowledged.clear();
                    },
                    "configuration went back"},
        broken_row {"later_process_is_blamed_for_its_first_configuration",
                    [](soak_evidence &each) {
                        each.probes.push_back({"gateway-0", 2, 2, 3, start + 5s, start + 5010ms, 404});
                        each.acknowledged.clear();
                    },
                    ""},
        broken_row {"late_configuration",
                    [](soak_evidence &each) {
                        each.probes = {{"gateway-0", 1, 2, 2, start + 4100ms, start + 4110ms, 404}};
                    },
                    "configuration not in force in time"},
        broken_row {"gateway_out_of_touch_is_blamed",
                    [](soak_evidence &each) {
                        each.probes = {{"gateway-0", 1, 2, 2, start + 4100ms, start + 4110ms, 404}};
                        each.disturbances.push_back({"gateway-0", start + 2500ms, start + 3s});
                    },
                    ""},
        broken_row {"request_to_an_endpoint_that_left",
                    [](soak_evidence &each) {
                        each.disturbances.clear();
                        each.violations.push_back({start + 5s, "office-0", "left", "e"});
                    },
                    "endpoint office-0: left"},
        broken_row {"overrun_of_a_cold_endpoint",
                    [](soak_evidence &each) {
                        each.violations.push_back({start + 5s, "office-0", "cold", "e"});
                    },
                    "endpoint office-0: cold"},
        broken_row {"request_after_the_answer_that_says_leaving",
                    [](soak_evidence &each) {
                        each.calls[0].saidLeaving = true;
                        each.sayings = {{start + 10ms, "office-0", 1, "a", {}}};
                        each.arrivals = {{start + 1010ms, "office-0", 1, "b"}};
                    },
                    "request to an endpoint that said to leave: b"},
        broken_row {"request_sent_before_that_answer_is_blamed",
                    [](soak_evidence &each) {
                        each.calls[1].saidLeaving = true;
                        each.sayings = {{start + 1010ms, "office-0", 1, "b", {}}};
                        each.arrivals = {{start + 2s, "office-0", 1, "a"}};
                    },
                    ""},
        broken_row {"next_process_of_the_endpoint_is_blamed",
                    [](soak_evidence &each) {
                        each.calls[0].saidLeaving = true;
                        each.sayings = {{start + 10ms, "office-0", 1, "a", {}}};
                        each.arrivals = {{start + 1010ms, "office-0", 2, "b"}};
                    },
                    ""},
        broken_row {"restarted_gateway_is_blamed_for_what_it_forgot",
                    [](soak_evidence &each) {
                        each.calls[0].saidLeaving = true;
                        each.sayings = {{start + 10ms, "office-0", 1, "a", {}}};
                        each.arrivals = {{start + 1010ms, "office-0", 1, "b"}};
                        each.disturbances.push_back({"gateway-0.process", start + 100ms, start + 200ms});
                    },
                    ""},
        broken_row {"gateway_out_of_touch_is_excused_from_what_it_heard",
                    [](soak_evidence &each) {
                        each.calls[0].saidLeaving = true;
                        each.sayings = {{start + 10ms, "office-0", 1, "a", {}}};
                        each.arrivals = {{start + 1010ms, "office-0", 1, "b"}};
                        each.disturbances.push_back({"gateway-0", start + 100ms, start + 200ms});
                    },
                    "request to an endpoint that said to leave: b"},
        broken_row {"another_gateway_is_blamed",
                    [](soak_evidence &each) {
                        each.calls[0].saidLeaving = true;
                        each.calls[0].gateway = "gateway-1";
                        each.sayings = {{start + 10ms, "office-0", 1, "a", {}}};
                        each.arrivals = {{start + 1010ms, "office-0", 1, "b"}};
                    },
                    ""},
        broken_row {"third_request_in_a_pause",
                    [](soak_evidence &each) {
                        each.sayings = {{start, "office-0", 1, "a", 9s}};
                        each.arrivals = {{start + 1s, "office-0", 1, "b"},
                                         {start + 2s, "office-0", 1, "c"},
                                         {start + 9s, "office-0", 1, "d"}};
                    },
                    "3 requests in a pause: from gateway-0 to office-0"},
        broken_row {"requests_beside_a_pause_are_counted",
                    [](soak_evidence &each) {
                        each.sayings = {{start, "office-0", 1, "a", 8s}};
                        each.arrivals = {{start + 499ms, "office-0", 1, "a"},
                                         {start + 1s, "office-0", 1, "b"},
                                         {start + 2s, "office-0", 1, "c"},
                                         {start + 9s, "office-0", 1, "d"}};
                    },
                    ""},
        broken_row {"cut_endpoint_breaks_a_pause",
                    [](soak_evidence &each) {
                        each.sayings = {{start, "office-0", 1, "a", 9s}};
                        each.arrivals = {{start + 1s, "office-0", 1, "b"},
                                         {start + 2s, "office-0", 1, "c"},
                                         {start + 3s, "office-0", 1, "d"}};
                        each.disturbances.push_back({"office-0", start + 1s, start + 2s});
                    },
                    ""},
        broken_row {"pass_with_two_maps",
                    [](soak_evidence &each) {
                        each.violations.push_back({start + 5s, "models", "maps", ""});
                    },
                    "endpoint models: maps"}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(soak_plan, isTheSameForTheSameSeed)
{
    EXPECT_EQ(planOf(7, 30s), planOf(7, 30s));
    EXPECT_NE(planOf(7, 30s), planOf(8, 30s));
}

TEST(soak_plan, reachesEveryFault)
{
    std::vector<int> seen(static_cast<std::size_t>(fault::count));
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        for (const planned_fault &each : planOf(seed, 12s).faults) {
            ++seen.at(static_cast<std::size_t>(each.kind));
        }
    }
    EXPECT_TRUE(std::ranges::none_of(seen, [](int count) { return count == 0; }));
}

/** A seed that is played in each run of the tests, and why. */
struct seed_row
{
    std::uint64_t seed;
    std::chrono::seconds length;
    const char *reason;
};

class soak_seed : public testing::TestWithParam<seed_row>
{
};

TEST_P(soak_seed, breaksNoPromise)
{
    soak_run run(planOf(GetParam().seed, GetParam().length));
    const auto findings = findingsOf(run.play());
    for (const std::string &finding : findings) {
        ADD_FAILURE() << finding;
    }
}

INSTANTIATE_TEST_SUITE_P(rows, soak_seed,
                         testing::Values(seed_row {1, 5s, "short seeded run"}, seed_row {2, 5s, "short seeded run"}),
                         [](const auto &row) { return "seed_" + std::to_string(row.param.seed); });

} // namespace

} // namespace bronzechute::soak
