#include "base/boot_clock.h"
#include "standins/http_fetch.h"
#include "standins/model_engine.h"
#include "standins/token_text.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <mutex>
#include <thread>

namespace bronzechute::standins {
namespace {

using namespace std::chrono_literals;

std::string completionBody(const std::string &prompt, int first, int last, int priority)
{
    return nlohmann::json {{"prompt", prompt}, {"resume_from", first}, {"max_tokens", last}, {"priority", priority}}
        .dump();
}

std::string complete(const model_engine &engine, const std::string &body)
{
    const fetch_answer answer = postJson(engine.url() + "/v1/completions", body);
    const auto object = nlohmann::json::parse(answer.body, nullptr, false);
    return object.is_object() && object.contains("choices") ? object["choices"][0]["text"].get<std::string>()
                                                            : "status " + std::to_string(answer.status);
}

template<typename Condition>
bool eventually(Condition condition)
{
    const time_point end = boot_clock::now() + 20s;
    while (!condition() && boot_clock::now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

struct completion_row
{
    const char *name; ///< The failure that the row guards against.
    std::string body;
    std::string text;
};

class model_engine_completion : public testing::TestWithParam<completion_row>
{
};

TEST_P(model_engine_completion, asExpected)
{
    auto engine = model_engine::start({});
    ASSERT_TRUE(engine);
    EXPECT_EQ(complete(*engine.value(), GetParam().body), GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    rows, model_engine_completion,
    testing::Values(completion_row {"wrong_text", completionBody("a", 0, 4, 0), answerText("a", 0, 4)},
                    completion_row {"resumed_from_the_start", completionBody("a", 2, 4, 0), answerText("a", 2, 4)},
                    completion_row {"nothing_to_generate", completionBody("a", 4, 4, 0), "status 400"},
                    completion_row {"too_many_tokens", completionBody("a", 0, 1000000000, 0), "status 400"},
                    completion_row {"not_json", "{", "status 400"}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against an engine that bears any load while cold, or never gets warm.
TEST(model_engine, fallsOverWhenOverloadedWhileColdAndGetsWarm)
{
    model_engine_options options;
    options.step = 2ms;
    options.coldRequests = 3;
    options.coldLimit = 2;
    options.fallOver = 100ms;
    auto engine = model_engine::start(options);
    ASSERT_TRUE(engine);
    std::vector<std::thread> callers;
    callers.reserve(4);
    for (int count = 0; count < 4; ++count) {
        callers.emplace_back([&] { complete(*engine.value(), completionBody("a", 0, 50, 0)); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const engine_batch_stats stats = engine.value()->batch().stats();
    EXPECT_GE(stats.fallOvers, 1U);
    EXPECT_GE(stats.peakWhileCold, 3U);
    EXPECT_EQ(stats.completed, 4U);
    EXPECT_FALSE(stats.cold);
    ASSERT_EQ(engine.value()->faults().apply(R"({"turn_cold": 5})"), "");
    EXPECT_TRUE(engine.value()->batch().stats().cold);
}

// Guards against a queue that ignores priorities.
TEST(model_engine, runsUrgentRequestsFirst)
{
    model_engine_options options;
    options.step = 2ms;
    options.maximumBatch = 1;
    auto engine = model_engine::start(options);
    ASSERT_TRUE(engine);
    ASSERT_EQ(engine.value()->faults().apply(R"({"stall": true})"), "");
    std::mutex mutex;
    std::string order;
    std::vector<std::thread> callers;
    for (const int priority : {9, 5, 0}) {
        callers.emplace_back([&, priority] {
            complete(*engine.value(), completionBody("a", 0, 20, priority));
            const std::scoped_lock lock(mutex);
            order += std::to_string(priority);
        });
        const std::uint64_t started = callers.size();
        EXPECT_TRUE(eventually([&] { return engine.value()->batch().stats().started == started; }));
    }
    ASSERT_EQ(engine.value()->faults().apply(R"({"stall": false})"), "");
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(order, "059");
}

// Guards against a prefix cache that never hits, or that never forgets.
TEST(model_engine, remembersPrefixesInBoundedMemory)
{
    prefix_cache cache(4);
    const std::string prompt(2 * prefix_cache::blockBytes, 'a');
    EXPECT_EQ(cache.touch(prompt), 0U);
    EXPECT_EQ(cache.touch(prompt + "b"), prompt.size());
    EXPECT_EQ(cache.touch(std::string(4 * prefix_cache::blockBytes, 'c')), 0U);
    EXPECT_EQ(cache.usage(), 1);
    EXPECT_EQ(cache.touch(prompt), 0U);
}

// Guards against a head that arrives although the engine is told not to answer, and against a run that is not counted.
TEST(model_engine, runsButDoesNotAnswerWhenTold)
{
    auto engine = model_engine::start({});
    ASSERT_TRUE(engine);
    ASSERT_EQ(engine.value()->faults().apply(R"({"never_answer": true})"), "");
    fetch_request request;
    request.url = engine.value()->url() + "/v1/completions";
    request.method = "POST";
    request.headers = {{"X-Request-Id", "r1"}};
    request.body = completionBody("a", 0, 1, 0);
    request.timeout = 500ms;
    const fetch_answer answer = fetch(request);
    EXPECT_EQ(answer.code, CURLE_OPERATION_TIMEDOUT);
    EXPECT_EQ(answer.status, 0);
    const auto stats = nlohmann::json::parse(fetch(engine.value()->url() + "/standin/stats").body);
    EXPECT_EQ(stats["requests"]["r1"], 1);
}

} // namespace
} // namespace bronzechute::standins
