#include "backend/sse_parser.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <set>

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

/** What a fault row may end as. */
enum ending : unsigned { answered = 1, not_run = 2, unknown = 4, cut = 8 };

unsigned endingOf(const fetch_answer &answer)
{
    if (answer.code != CURLE_OK || answer.status == 0) {
        return cut;
    }
    const std::string outcome = findHeader(answer.headers, "X-Bronzechute-Outcome").value_or("");
    return outcome == "answered" ? answered : outcome == "not_run" ? not_run : unknown;
}

/** Sets the rules of a forwarder for frames, a JSON list; an empty text sets none. */
void injectFrames(local_system &system, const std::string &forwarder, const std::string &rules)
{
    if (!rules.empty()) {
        system.inject(forwarder, {{"frames", nlohmann::json::parse(rules)}});
    }
}

/** @returns whether the forwarder has changed a frame for each rule. */
bool framesChanged(local_system &system, const std::string &forwarder, const std::string &rules)
{
    return rules.empty() || nlohmann::json::parse(system.stats(forwarder)).value("unused_frame_rules", -1) == 0;
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

/** @returns the text of a streamed completion. */
std::string streamedText(const std::string &body)
{
    std::string text;
    std::size_t start = 0;
    while ((start = body.find("data: {", start)) != std::string::npos) {
        const std::size_t end = body.find("\n\n", start);
        const auto event = nlohmann::json::parse(body.substr(start + 6, end - start - 6), nullptr, false);
        if (event.is_object() && event.contains("choices") && !event["choices"].empty()
            && event["choices"][0]["delta"].contains("content")) {
            text += event["choices"][0]["delta"]["content"].get<std::string>();
        }
        start += 6;
    }
    return text;
}

struct stream_fault_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(local_system &)> during; ///< After the first tokens; may be empty.
    bool whole; ///< Whether the caller gets the whole answer; a visible cut otherwise.
    std::string frames = {}; ///< Rules for frames between entry and endpoint process; may be empty.
};

class stream_faults : public testing::TestWithParam<stream_fault_row>
{
};

TEST_P(stream_faults, neverEndCleanlyOnAPartialAnswer)
{
    constexpr int tokens = 150;
    local_system system;
    system.startStore();
    system.startModel("model-1", "buda", {"--step_ms", "30"});
    system.forward("model-1");
    system.startEntry("entry-1", "buda");
    system.apply(local_system::exampleConfiguration());
    ASSERT_TRUE(system.waitReady("entry-1", 1));
    injectFrames(system, "model-1.forwarder", GetParam().frames);
    auto stream = std::async(std::launch::async, [&] { return system.complete("entry-1", tokens, true); });
    ASSERT_TRUE(
        eventuallyTrue([&] { return nlohmann::json::parse(system.stats("model-1.engine")).value("tokens", 0) >= 10; }));
    if (GetParam().during) {
        GetParam().during(system);
    }
    const fetch_answer answer = stream.get();
    EXPECT_TRUE(framesChanged(system, "model-1.forwarder", GetParam().frames));
    if (!GetParam().whole) {
        EXPECT_NE(answer.code, CURLE_OK) << "a cut answer ended cleanly";
        EXPECT_EQ(answer.body.find("[DONE]"), std::string::npos);
        return;
    }
    ASSERT_EQ(answer.code, CURLE_OK) << answer.body;
    EXPECT_NE(answer.body.find("[DONE]"), std::string::npos);
    fetch_request direct;
    direct.url = system.url("model-1.engine") + "/v1/chat/completions";
    direct.method = "POST";
    direct.body =
        R"({"model":"iroda-nyelv","messages":[{"role":"user","content":"hello"}],"max_tokens":150,"stream":true})";
    EXPECT_EQ(streamedText(answer.body), streamedText(fetch(direct).body));
}

INSTANTIATE_TEST_SUITE_P(
    rows, stream_faults,
    testing::Values(
        stream_fault_row {"undisturbed_stream_differs_from_direct", {}, true},
        stream_fault_row {"endpoint_killed_seen_as_end", [](local_system &system) { system.process("model-1").kill(); },
                          false},
        stream_fault_row {"engine_killed_seen_as_end",
                          [](local_system &system) { system.process("model-1.engine").kill(); }, false},
        stream_fault_row {
            "engine_cut_seen_as_end",
            [](local_system &system) { system.inject("model-1.engine", R"({"cut_after_tokens": 30})"_json); }, false},
        stream_fault_row {
            "silent_connection_loses_tokens",
            [](local_system &system) { system.inject("model-1.forwarder", R"({"silence_open": true})"_json); }, true},
        stream_fault_row {
            "cut_connection_loses_tokens",
            [](local_system &system) { system.inject("model-1.forwarder", R"({"cut_open": true})"_json); }, true},
        stream_fault_row {"delayed_connection_loses_tokens",
                          [](local_system &system) { system.inject("model-1.forwarder", R"({"delay_ms": 300})"_json); },
                          true},
        stream_fault_row {"endpoint_stopped_gracefully_cuts_the_stream",
                          [](local_system &system) { system.process("model-1").signal(SIGTERM); }, true},
        stream_fault_row {"entry_stopped_gracefully_cuts_the_stream",
                          [](local_system &system) { system.process("entry-1").signal(SIGTERM); }, true},
        stream_fault_row {"frozen_endpoint_loses_tokens",
                          [](local_system &system) {
                              system.process("model-1").freeze();
                              std::this_thread::sleep_for(1s);
                              system.process("model-1").thaw();
                          },
                          true},
        stream_fault_row {"cut_connection_and_killed_endpoint_seen_as_end",
                          [](local_system &system) {
                              system.inject("model-1.forwarder", R"({"cut_open": true})"_json);
                              system.process("model-1").kill();
                          },
                          false}),
    [](const auto &row) { return std::string(row.param.name); });

struct continued_stream_row
{
    const char *name; ///< The failure that the row guards against.
    bool resumeElsewhere;
    bool chat;
    std::function<void(local_system &, const std::string &, const std::string &)> during; ///< Serving one, other one.
    bool whole; ///< Whether the caller gets the whole answer; a visible cut otherwise.
};

class continued_streams : public testing::TestWithParam<continued_stream_row>
{
};

int tokensOf(local_system &system, const std::string &endpoint)
{
    return nlohmann::json::parse(system.stats(endpoint + ".engine"), nullptr, false).value("tokens", 0);
}

fetch_request streamRequest(const std::string &url, bool chat, const std::string &prompt = "hello")
{
    fetch_request request;
    request.url = url + (chat ? "/v1/chat/completions" : "/v1/completions");
    request.method = "POST";
    request.headers = {{"Authorization", "Bearer example-office-key"}};
    request.body = std::string(R"({"model":"iroda-nyelv","max_tokens":100,"stream":true,)")
        + (chat ? R"("messages":[{"role":"user","content":")" + prompt + R"("}]})" : R"("prompt":")" + prompt + "\"}");
    return request;
}

/** What a caller sees of a stream: ids, text, finish reasons, usage. */
struct stream_view
{
    std::set<std::string> ids;
    std::string text;
    std::vector<std::string> finishReasons;
    std::vector<nlohmann::json> usages;

    explicit stream_view(const std::string &body)
    {
        sse_parser parser;
        for (const sse_event &event : parser.feed(body)) {
            const auto json = nlohmann::json::parse(event.data, nullptr, false);
            if (!json.is_object()) {
                continue;
            }
            ids.insert(json.value("id", ""));
            const nlohmann::json &choice = json["choices"][0];
            text += choice.contains("delta") ? choice["delta"].value("content", "") : choice.value("text", "");
            if (choice["finish_reason"].is_string()) {
                finishReasons.push_back(choice["finish_reason"]);
            }
            if (json.contains("usage")) {
                usages.push_back(json["usage"]);
            }
        }
    }
};

std::string configurationThatContinues(bool resumeElsewhere)
{
    std::string text = local_system::exampleConfiguration();
    const std::string place = "priority: 9";
    return text.replace(text.find(place), place.size(),
                        place + "\n    resume_elsewhere: " + (resumeElsewhere ? "true" : "false"));
}

TEST_P(continued_streams, showTheSameTextOrAVisibleCut)
{
    const continued_stream_row &row = GetParam();
    local_system system;
    system.startStore();
    for (const char *name : {"model-1", "model-2"}) {
        system.startModel(name, "buda", {"--step_ms", "30"});
    }
    system.startEntry("entry-1", "buda");
    system.apply(configurationThatContinues(row.resumeElsewhere));
    ASSERT_TRUE(system.waitReady("entry-1", 2));
    auto stream = std::async(std::launch::async, [&] { return fetch(streamRequest(system.url("entry-1"), row.chat)); });
    ASSERT_TRUE(
        eventuallyTrue([&] { return std::max(tokensOf(system, "model-1"), tokensOf(system, "model-2")) >= 10; }));
    const bool first = tokensOf(system, "model-1") > 0;
    const std::string serving = first ? "model-1" : "model-2";
    const std::string other = first ? "model-2" : "model-1";
    row.during(system, serving, other);
    const fetch_answer answer = stream.get();
    if (!row.whole) {
        EXPECT_NE(answer.code, CURLE_OK) << "a cut answer ended cleanly";
        EXPECT_EQ(answer.body.find("[DONE]"), std::string::npos);
        return;
    }
    ASSERT_EQ(answer.code, CURLE_OK) << answer.body;
    const std::string done = "data: [DONE]\n\n";
    ASSERT_TRUE(answer.body.ends_with(done)) << answer.body;
    EXPECT_EQ(answer.body.find(done), answer.body.size() - done.size()) << "two ends";
    const stream_view direct(fetch(streamRequest(system.url(other + ".engine"), row.chat)).body);
    const stream_view seen(answer.body);
    EXPECT_EQ(seen.text, direct.text);
    EXPECT_EQ(seen.ids.size(), 1U);
    EXPECT_EQ(seen.finishReasons, direct.finishReasons);
    EXPECT_EQ(seen.usages, direct.usages);
}

const auto killServing = [](local_system &system, const std::string &serving, const std::string &) {
    system.process(serving).kill();
};
const auto freezeServing = [](local_system &system, const std::string &serving, const std::string &) {
    system.process(serving).freeze();
};
const auto killServingEngine = [](local_system &system, const std::string &serving, const std::string &) {
    system.process(serving + ".engine").kill();
};

INSTANTIATE_TEST_SUITE_P(
    rows, continued_streams,
    testing::Values(
        continued_stream_row {"endpoint_killed_cuts_a_chat", true, true, killServing, true},
        continued_stream_row {"endpoint_killed_cuts_a_completion", true, false, killServing, true},
        continued_stream_row {"endpoint_frozen_cuts_the_stream", true, true, freezeServing, true},
        continued_stream_row {"engine_killed_cuts_the_stream", true, true, killServingEngine, true},
        continued_stream_row {"endpoint_killed_without_setting_continues", false, true, killServing, false},
        continued_stream_row {"endpoint_frozen_without_setting_continues", false, true, freezeServing, false},
        continued_stream_row {"engine_killed_without_setting_continues", false, true, killServingEngine, false},
        continued_stream_row {"both_endpoints_killed_seen_as_end", true, true,
                              [](local_system &system, const std::string &serving, const std::string &other) {
                                  system.process(other).kill();
                                  system.process(serving).kill();
                              },
                              false},
        continued_stream_row {"second_death_during_continuation_seen_as_end", true, true,
                              [](local_system &system, const std::string &serving, const std::string &other) {
                                  system.process(serving).kill();
                                  ASSERT_TRUE(eventuallyTrue([&] { return tokensOf(system, other) >= 10; }));
                                  system.process(other).kill();
                              },
                              false}),
    [](const auto &row) { return std::string(row.param.name); });

INSTANTIATE_TEST_SUITE_P(
    frames, stream_faults,
    testing::Values(
        stream_fault_row {
            "data_copy_shown_twice", {}, true, R"([{"type": "data", "action": "duplicate", "skip": 3, "times": 50}])"},
        stream_fault_row {"late_data_copy_shown_twice",
                          {},
                          true,
                          R"([{"type": "data", "action": "duplicate", "skip": 3, "times": 50, "delay_ms": 700}])"},
        stream_fault_row {"swapped_data_shown_out_of_order",
                          {},
                          true,
                          R"([{"type": "data", "action": "swap", "skip": 3, "times": 50}])"},
        stream_fault_row {"late_data_shown_out_of_order",
                          {},
                          true,
                          R"([{"type": "data", "action": "delay", "skip": 3, "times": 1, "delay_ms": 1000}])"},
        stream_fault_row {
            "lost_data_seen_as_whole", {}, true, R"([{"type": "data", "action": "drop", "skip": 3, "times": 5}])"},
        stream_fault_row {"end_before_late_data_seen_as_end",
                          {},
                          true,
                          R"([{"type": "data", "action": "delay", "times": 100000, "delay_ms": 1000}])"},
        stream_fault_row {"lost_data_and_resume_seen_as_whole",
                          {},
                          true,
                          R"([{"type": "data", "action": "drop", "skip": 3},
                              {"type": "resume", "action": "drop", "times": 2}])"},
        stream_fault_row {"resume_copy_shows_data_twice",
                          {},
                          true,
                          R"([{"type": "data", "action": "drop", "skip": 3},
                              {"type": "resume", "action": "duplicate", "delay_ms": 300}])"},
        stream_fault_row {"lost_end_stops_the_stream", {}, true, R"([{"type": "end", "action": "drop"}])"},
        stream_fault_row {
            "head_after_data_breaks_the_stream", {}, true, R"([{"type": "response_head", "action": "swap"}])"}),
    [](const auto &row) { return std::string(row.param.name); });

// One caller's text would be mixed into another's stream. How many streams continue is left open: requests that
// waited in the queue of the dead process take from the same retry budget.
TEST(continued_streams_together, keepTheirOwnTextOrAreCut)
{
    constexpr int streamCount = 8;
    local_system system;
    system.startStore();
    for (const char *name : {"model-1", "model-2"}) {
        system.startModel(name, "buda", {"--step_ms", "10"});
    }
    system.startEntry("entry-1", "buda");
    system.apply(configurationThatContinues(true));
    ASSERT_TRUE(system.waitReady("entry-1", 2));
    std::vector<std::future<fetch_answer>> streams;
    streams.reserve(streamCount);
    const auto prompt = [](int index) {
        return "stream " + std::to_string(index);
    };
    for (int index = 0; index < streamCount; ++index) {
        streams.push_back(std::async(std::launch::async, [&system, text = prompt(index)] {
            return fetch(streamRequest(system.url("entry-1"), true, text));
        }));
    }
    // Beyond the first answer, which has 100 tokens: the cold start admits several streams by then.
    ASSERT_TRUE(eventuallyTrue([&] { return tokensOf(system, "model-1") >= 150; }));
    system.process("model-1").kill();
    int whole = 0;
    for (int index = 0; index < streamCount; ++index) {
        const fetch_answer answer = streams[static_cast<std::size_t>(index)].get();
        if (endingOf(answer) != cut && answer.status != 200) {
            EXPECT_NE(endingOf(answer), answered) << answer.body;
            continue;
        }
        if (answer.code != CURLE_OK) {
            EXPECT_EQ(answer.body.find("[DONE]"), std::string::npos) << answer.body;
            continue;
        }
        ++whole;
        const stream_view direct(fetch(streamRequest(system.url("model-2.engine"), true, prompt(index))).body);
        const stream_view seen(answer.body);
        EXPECT_EQ(seen.text, direct.text);
        EXPECT_EQ(seen.ids.size(), 1U);
        EXPECT_EQ(seen.usages, direct.usages);
    }
    EXPECT_GT(whole, 0);
}

struct first_token_row
{
    const char *name; ///< The failure that the row guards against.
    bool otherRecovers; ///< Whether the engine that did not get the request answers again.
    unsigned ending;
};

class silent_engines : public testing::TestWithParam<first_token_row>
{
};

/** The example's configuration with a limit for first tokens of the class counter and a deadline far behind it. */
std::string configurationWithFirstTokenLimit()
{
    std::string text = local_system::exampleConfiguration();
    const std::size_t begin = text.find("    deadline_ms: 30000");
    const std::size_t end = text.find("  - name: members");
    return text.replace(begin, end - begin, "    deadline_ms: 9000\n    first_token_ms: 2000\n");
}

TEST_P(silent_engines, doNotHoldACallerUntilItsDeadline)
{
    local_system system;
    system.startStore();
    for (const char *name : {"model-1", "model-2"}) {
        system.startModel(name, "buda");
        system.inject(std::string(name) + ".engine", R"({"never_answer": true})"_json);
    }
    system.startEntry("entry-1", "buda");
    system.apply(configurationWithFirstTokenLimit());
    ASSERT_TRUE(system.waitReady("entry-1", 2));
    const auto started = [&](const std::string &name) {
        return nlohmann::json::parse(system.stats(name + ".engine")).value("started", 0);
    };
    auto stream = std::async(std::launch::async, [&] { return system.complete("entry-1", 8, true); });
    ASSERT_TRUE(eventuallyTrue([&] { return started("model-1") + started("model-2") > 0; }));
    if (GetParam().otherRecovers) {
        const std::string other = started("model-1") > 0 ? "model-2.engine" : "model-1.engine";
        system.inject(other, R"({"never_answer": false})"_json);
    }
    const fetch_answer answer = stream.get();
    if (GetParam().ending == answered) {
        EXPECT_EQ(answer.status, 200) << answer.body;
        EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n")) << answer.body;
        return;
    }
    EXPECT_EQ(endingOf(answer), GetParam().ending) << answer.body;
    EXPECT_NE(answer.body.find("first_token_timeout"), std::string::npos) << answer.body;
    EXPECT_TRUE(findHeader(answer.headers, "Retry-After"));
}

INSTANTIATE_TEST_SUITE_P(rows, silent_engines,
                         testing::Values(first_token_row {"request_not_tried_at_the_other_engine", true, answered},
                                         first_token_row {"error_only_at_the_deadline", false, unknown}),
                         [](const auto &row) { return std::string(row.param.name); });

// An overloaded pool would get a second attempt for each request that waits too long, on top of its load.
TEST(first_token_limit, refusesWhatStillWaitsInsteadOfTryingItElsewhere)
{
    local_system system;
    system.startStore();
    for (const char *name : {"model-1", "model-2"}) {
        system.startModel(name, "buda", {"--step_ms", "30"}, "  max_concurrency: 1\n");
    }
    system.startEntry("entry-1", "buda");
    system.apply(configurationWithFirstTokenLimit());
    ASSERT_TRUE(system.waitReady("entry-1", 2));
    std::vector<std::future<fetch_answer>> streams;
    for (const char *name : {"model-1", "model-2"}) {
        streams.push_back(std::async(
            std::launch::async, [&] { return system.complete("entry-1", 300, true, "long", "example-member-key"); }));
        const std::size_t wanted = streams.size();
        ASSERT_TRUE(eventuallyTrue([&] {
            return static_cast<std::size_t>((tokensOf(system, "model-1") > 0) + (tokensOf(system, "model-2") > 0))
                == wanted;
        })) << name;
    }
    const fetch_answer answer = system.complete("entry-1", 8, true);
    EXPECT_EQ(answer.status, 503) << answer.body;
    EXPECT_EQ(endingOf(answer), not_run) << answer.body;
    EXPECT_NE(answer.body.find("first_token_timeout"), std::string::npos) << answer.body;
    EXPECT_TRUE(findHeader(answer.headers, "Retry-After"));
    for (auto &stream : streams) {
        EXPECT_EQ(stream.get().code, CURLE_OK);
    }
    for (const char *engine : {"model-1.engine", "model-2.engine"}) {
        EXPECT_EQ(nlohmann::json::parse(system.stats(engine)).value("started", 0), 1) << engine;
    }
    const std::string metrics = fetch(system.url("entry-1") + "/metrics").body;
    EXPECT_NE(metrics.find("bronzechute_retries_total 0\n"), std::string::npos) << metrics;
}

TEST(stream_cancel, stopsTheEngineWhenTheCallerLeaves)
{
    local_system system;
    system.startStore();
    system.startModel("model-1", "buda", {"--step_ms", "30"});
    system.startEntry("entry-1", "buda");
    system.apply(local_system::exampleConfiguration());
    ASSERT_TRUE(system.waitReady("entry-1", 1));
    fetch_request request;
    request.url = system.url("entry-1") + "/v1/chat/completions";
    request.method = "POST";
    request.headers = {{"Authorization", "Bearer example-office-key"}};
    request.timeout = 500ms;
    for (const char *stream : {"true", "false"}) {
        request.body = std::string(R"({"model":"iroda-nyelv","messages":[{"role":"user","content":"x"}],)")
            + R"("max_tokens":2000,"stream":)" + stream + "}";
        const int before = nlohmann::json::parse(system.stats("model-1.engine")).value("cancelled", 0);
        const fetch_answer answer = fetch(request);
        EXPECT_EQ(answer.code, CURLE_OPERATION_TIMEDOUT) << answer.status << " " << answer.body;
        EXPECT_TRUE(eventuallyTrue([&] {
            return nlohmann::json::parse(system.stats("model-1.engine")).value("cancelled", 0) > before;
        })) << "stream: "
            << stream;
    }
}

} // namespace
} // namespace bronzechute::standins
