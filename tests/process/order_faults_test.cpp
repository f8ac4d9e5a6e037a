#include "ending.h"
#include "frame_rules.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>

namespace bronzechute::standins {
namespace {

using namespace nlohmann::literals;
using namespace std::chrono_literals;

/** The example's configuration with a deadline for orders that the rows can outwait. */
std::string configurationWithDeadline(const std::string &deadlineMs)
{
    std::string text = local_system::exampleConfiguration();
    const std::string example = "deadline_ms: 10000";
    text.replace(text.find(example), example.size(), "deadline_ms: " + deadlineMs);
    return text;
}

int ordersRun(local_system &system, const std::string &service, const std::string &text)
{
    const auto stats = nlohmann::json::parse(system.stats(service), nullptr, false);
    return stats.is_object() ? stats["orders_by_text"].value(text, 0) : 0;
}

struct order_fault_row
{
    const char *name; ///< The failure that the row guards against.
    std::vector<std::string> serviceFlags;
    std::string deadlineMs;
    std::function<void(local_system &)> before; ///< Before the order is sent; may be empty.
    std::function<void(local_system &)> during; ///< While the service works on it; may be empty.
    std::function<void(local_system &)> after; ///< After the caller has its answer; may be empty.
    unsigned endings; ///< Those that are allowed.
    std::string frames = {}; ///< Rules for frames between entry and endpoint process; may be empty.
};

class order_faults : public testing::TestWithParam<order_fault_row>
{
};

TEST_P(order_faults, runAnOrderAtMostOnceAndTellTheTruth)
{
    const order_fault_row &row = GetParam();
    local_system system;
    system.startStore();
    system.startService("office-1", "buda", row.serviceFlags);
    system.forward("office-1");
    system.startEntry("entry-1", "buda");
    system.apply(configurationWithDeadline(row.deadlineMs));
    ASSERT_TRUE(system.waitReady("entry-1", 1));
    if (row.before) {
        row.before(system);
    }
    injectFrames(system, "office-1.forwarder", row.frames);
    auto order = std::async(std::launch::async, [&] { return system.order("entry-1", "envelopes", {}, 60s); });
    if (row.during) {
        ASSERT_TRUE(eventuallyTrue(
            [&] { return nlohmann::json::parse(system.stats("office-1.engine")).value("active", 0) > 0; }));
        row.during(system);
    }
    const fetch_answer answer = order.get();
    if (row.after) {
        row.after(system);
    }
    EXPECT_TRUE(framesChanged(system, "office-1.forwarder", row.frames));
    const unsigned end = endingOf(answer);
    EXPECT_TRUE(end & row.endings) << "ended as " << end << ": " << answer.status << " " << answer.body;
    // A late copy would run within the deadline of the order; the service's own work is added to it.
    std::this_thread::sleep_for(2500ms);
    const int runs = ordersRun(system, "office-1.engine", "envelopes");
    EXPECT_LE(runs, 1);
    if (end == not_run) {
        EXPECT_EQ(runs, 0) << "the caller was told that the order was not run: " << answer.body;
    }
    if (end == answered) {
        EXPECT_EQ(runs, 1);
        EXPECT_TRUE(nlohmann::json::accept(answer.body)) << "not the service's answer: " << answer.body;
    }
}

const auto killEndpoint = [](local_system &system) {
    system.process("office-1").kill();
};
const auto restartEndpoint = [](local_system &system) {
    system.process("office-1").kill();
    system.restartEndpoint("office-1");
};
const auto freezeEndpoint = [](local_system &system) {
    system.process("office-1").freeze();
};
const auto thawEndpoint = [](local_system &system) {
    system.process("office-1").thaw();
};
const auto silenceConnection = [](local_system &system) {
    system.inject("office-1.forwarder", R"({"silence_open": true})"_json);
};
const std::vector<std::string> slowWork {"--work_ms", "1500"};

INSTANTIATE_TEST_SUITE_P(
    rows, order_faults,
    testing::Values(
        order_fault_row {"plain_order_not_answered", {}, "5000", {}, {}, {}, answered},
        order_fault_row {
            "endpoint_killed_while_working_reported_as_not_run", slowWork, "5000", {}, killEndpoint, {}, unknown},
        order_fault_row {"order_doubled_by_endpoint_restart", slowWork, "5000", {}, restartEndpoint, {}, unknown},
        order_fault_row {
            "order_runs_after_frozen_endpoint_thaws", {}, "2000", freezeEndpoint, {}, thawEndpoint, unknown | not_run},
        order_fault_row {"frozen_while_working_loses_the_answer",
                         slowWork,
                         "8000",
                         {},
                         [](local_system &system) {
                             freezeEndpoint(system);
                             std::this_thread::sleep_for(1s);
                             thawEndpoint(system);
                         },
                         {},
                         answered},
        order_fault_row {
            "silent_connection_before_the_order_doubles_it", {}, "8000", silenceConnection, {}, {}, answered | not_run},
        order_fault_row {"silent_connection_during_the_order_loses_the_answer",
                         {"--work_ms", "4000"},
                         "12000",
                         {},
                         silenceConnection,
                         {},
                         answered},
        order_fault_row {"silent_connection_and_restart_double_the_order",
                         slowWork,
                         "8000",
                         {},
                         [](local_system &system) {
                             silenceConnection(system);
                             restartEndpoint(system);
                         },
                         {},
                         unknown},
        order_fault_row {"service_killed_before_reported_as_unknown",
                         {},
                         "3000",
                         [](local_system &system) { system.process("office-1.engine").kill(); },
                         {},
                         {},
                         not_run},
        order_fault_row {
            "service_that_never_answers_holds_the_caller",
            {},
            "2000",
            [](local_system &system) { system.inject("office-1.engine", R"({"never_answer": true})"_json); },
            {},
            {},
            unknown},
        order_fault_row {"frozen_service_holds_the_caller",
                         {},
                         "2000",
                         [](local_system &system) { system.process("office-1.engine").freeze(); },
                         {},
                         [](local_system &system) { system.process("office-1.engine").thaw(); },
                         unknown | not_run},
        order_fault_row {"killed_entry_doubles_the_order",
                         slowWork,
                         "5000",
                         {},
                         [](local_system &system) { system.process("entry-1").kill(); },
                         {},
                         cut},
        order_fault_row {"frozen_entry_doubles_the_order",
                         slowWork,
                         "5000",
                         {},
                         [](local_system &system) {
                             system.process("entry-1").freeze();
                             std::this_thread::sleep_for(4s);
                             system.process("entry-1").thaw();
                         },
                         {},
                         answered | unknown},
        order_fault_row {"endpoint_stopped_gracefully_cuts_the_order",
                         slowWork,
                         "5000",
                         {},
                         [](local_system &system) { system.process("office-1").signal(SIGTERM); },
                         {},
                         answered},
        order_fault_row {"entry_stopped_gracefully_cuts_the_order",
                         slowWork,
                         "5000",
                         {},
                         [](local_system &system) { system.process("entry-1").signal(SIGTERM); },
                         {},
                         answered}),
    [](const auto &row) { return std::string(row.param.name); });

const auto neverAnswer = [](local_system &system) {
    system.inject("office-1.engine", R"({"never_answer": true})"_json);
};

/** @returns a row in which only frames between the processes are disturbed. */
order_fault_row frameRow(const char *name, const std::string &rules, unsigned endings, const std::string &deadlineMs)
{
    return {name, {}, deadlineMs, {}, {}, {}, endings, rules};
}

INSTANTIATE_TEST_SUITE_P(
    frames, order_faults,
    testing::Values(
        frameRow("submit_copy_runs", R"([{"type": "submit", "action": "duplicate"}])", answered, "5000"),
        frameRow("submit_copy_after_the_answer_runs",
                 R"([{"type": "submit", "action": "duplicate", "delay_ms": 1500}])", answered, "5000"),
        frameRow("submit_after_the_deadline_runs", R"([{"type": "submit", "action": "delay", "delay_ms": 3000}])",
                 not_run, "2000"),
        frameRow("submit_after_the_deadline_and_cancel_lost_reported_as_not_run",
                 R"([{"type": "submit", "action": "delay", "delay_ms": 4000}, {"type": "cancel", "action": "drop"}])",
                 unknown, "2000"),
        frameRow("submit_lost_reported_as_unknown", R"([{"type": "submit", "action": "drop"}])", not_run, "2000"),
        frameRow("submit_and_cancelled_lost_reported_as_not_run",
                 R"([{"type": "submit", "action": "drop"}, {"type": "cancelled", "action": "drop"}])", unknown, "2000"),
        frameRow("accepted_lost_loses_the_answer", R"([{"type": "accepted", "action": "drop"}])", answered, "5000"),
        frameRow("accepted_after_the_answer_breaks_it",
                 R"([{"type": "accepted", "action": "delay", "delay_ms": 1500}])", answered, "5000"),
        order_fault_row {"accepted_after_cancelled_reported_as_not_run",
                         {},
                         "2000",
                         neverAnswer,
                         {},
                         {},
                         unknown,
                         R"([{"type": "accepted", "action": "delay", "delay_ms": 3500},
                             {"type": "failed", "action": "drop", "times": 100}])"},
        order_fault_row {"cancel_lost_reported_as_not_run",
                         {},
                         "2000",
                         neverAnswer,
                         {},
                         {},
                         unknown,
                         R"([{"type": "failed", "action": "drop", "times": 100},
                             {"type": "cancel", "action": "drop"}])"},
        order_fault_row {"cancel_copy_reported_as_not_run",
                         {},
                         "2000",
                         neverAnswer,
                         {},
                         {},
                         unknown,
                         R"([{"type": "failed", "action": "drop", "times": 100},
                             {"type": "cancel", "action": "duplicate"}])"},
        order_fault_row {"refused_lost_reported_as_unknown",
                         {},
                         "2000",
                         [](local_system &system) { system.process("office-1.engine").kill(); },
                         {},
                         {},
                         not_run,
                         R"([{"type": "refused", "action": "drop"}])"},
        frameRow("head_after_data_breaks_the_answer", R"([{"type": "response_head", "action": "swap"}])", answered,
                 "5000"),
        frameRow("head_lost_loses_the_answer", R"([{"type": "response_head", "action": "drop"}])", answered, "5000"),
        frameRow("data_lost_loses_the_answer", R"([{"type": "data", "action": "drop"}])", answered, "5000"),
        frameRow("data_copy_breaks_the_answer", R"([{"type": "data", "action": "duplicate"}])", answered, "5000"),
        frameRow("end_before_data_breaks_the_answer", R"([{"type": "data", "action": "delay", "delay_ms": 1000}])",
                 answered, "5000"),
        frameRow("end_lost_loses_the_answer", R"([{"type": "end", "action": "drop"}])", answered, "5000"),
        frameRow("end_copy_breaks_the_answer", R"([{"type": "end", "action": "duplicate"}])", answered, "5000"),
        frameRow("late_end_loses_the_answer", R"([{"type": "end", "action": "delay", "delay_ms": 1500}])", answered,
                 "5000")),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute::standins
