#include "ending.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "stream_view.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>

namespace bronzechute::standins {
namespace {

using namespace std::chrono_literals;

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

} // namespace
} // namespace bronzechute::standins
