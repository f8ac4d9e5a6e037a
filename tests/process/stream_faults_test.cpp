#include "frame_rules.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "stream_view.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>

namespace bronzechute::standins {
namespace {

using namespace nlohmann::literals;
using namespace std::chrono_literals;

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
    EXPECT_EQ(stream_view(answer.body).text, stream_view(fetch(direct).body).text);
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
