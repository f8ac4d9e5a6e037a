#include "backend/http_back_end.h"
#include "eventually.h"
#include "recording_sink.h"
#include "standins/model_engine.h"
#include "standins/raw_server.h"
#include "standins/token_text.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using standins::model_engine;
using standins::raw_connection;
using standins::recording_sink;

back_end_request completion(int tokens, bool stream)
{
    back_end_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = nlohmann::json {{"prompt", "minutes"}, {"max_tokens", tokens}, {"stream", stream}}.dump();
    return request;
}

constexpr auto engineKind = http_back_end_options::kind::engine;

// Guards against lost or reordered bytes of a stream.
TEST(http_back_end, relaysAStreamByteForByte)
{
    standins::model_engine_options options;
    options.step = 1ms;
    auto engine = model_engine::start(options);
    ASSERT_TRUE(engine);
    http_back_end target({engineKind, engine.value()->url() + "/"}, std::make_shared<transfer_loop>());
    const auto sink = std::make_shared<recording_sink>();
    target.start(completion(200, true), sink);
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(sink->calls(), "hbe");
    EXPECT_EQ(findHeader(sink->headers(), "content-type"), "text/event-stream");
    std::size_t position = 0;
    for (std::size_t index = 0; index < 200; ++index) {
        position = sink->body().find(standins::tokenText("minutes", index) + "\"", position);
        ASSERT_NE(position, std::string::npos) << index;
    }
    EXPECT_TRUE(sink->body().ends_with("data: [DONE]\n\n"));
}

struct cancel_row
{
    const char *name; ///< The failure that the row guards against.
    bool stream;
    const char *faults;
    bool byRefusing; ///< Cancels by a sink that returns false from onBytes(), instead of by cancel().
};

class back_end_cancel : public testing::TestWithParam<cancel_row>
{
};

TEST_P(back_end_cancel, isSeenByTheEngine)
{
    auto engine = model_engine::start({});
    ASSERT_TRUE(engine);
    ASSERT_EQ(engine.value()->faults().apply(GetParam().faults), "");
    http_back_end target({engineKind, engine.value()->url()}, std::make_shared<transfer_loop>());
    const auto sink = std::make_shared<recording_sink>();
    if (GetParam().byRefusing) {
        sink->refuseAfter(1);
    }
    const auto running = target.start(completion(5000, GetParam().stream), sink);
    ASSERT_TRUE(eventually([&] { return engine.value()->batch().stats().started == 1; }));
    if (!GetParam().byRefusing) {
        running->cancel();
    }
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(sink->failure()->code, errc::cancelled);
    EXPECT_TRUE(sink->mayHaveRun());
    const time_point begin = boot_clock::now();
    EXPECT_TRUE(eventually([&] { return engine.value()->batch().stats().cancelled == 1; }));
    // The complete answer takes 100 s, so that its end cannot be mistaken for the cancellation.
    RecordProperty("milliseconds", std::to_string((boot_clock::now() - begin) / 1ms));
    engine.value()->faults().stop();
}

INSTANTIATE_TEST_SUITE_P(rows, back_end_cancel,
                         testing::Values(cancel_row {"stream_runs_on", true, "{}", false},
                                         cancel_row {"whole_answer_runs_on", false, "{}", false},
                                         cancel_row {"stalled_request_runs_on", true, R"({"stall": true})", false},
                                         cancel_row {"refused_bytes_ignored", true, "{}", true}),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against transfers that never end after their loop is destroyed, and against handles that access it afterwards.
TEST(http_back_end, destroyingTheLoopEndsItsTransfers)
{
    standins::raw_server server([](raw_connection &connection, int) { connection.waitForClose(); });
    const auto sink = std::make_shared<recording_sink>();
    std::shared_ptr<transfer> running;
    {
        http_back_end target({engineKind, server.url()}, std::make_shared<transfer_loop>());
        running = target.start(completion(1, true), sink);
    }
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(sink->calls(), "f");
    EXPECT_EQ(sink->failure()->code, errc::cancelled);
    running->cancel(); // The loop is destroyed; the handle must not access it.
    running->pause();
    running->resume();
}

// Guards against buffering the answer for a slow caller without limit, and against bytes lost by a pause.
TEST(http_back_end, pausedTransferDoesNotGrowMemory)
{
    constexpr std::size_t blockBytes = std::size_t {64} * 1024;
    constexpr std::size_t blocks = 1024; // 64 MiB, more than the socket buffers hold.
    std::atomic<std::size_t> sent {0};
    standins::raw_server server([&sent](raw_connection &connection, int) {
        connection.readRequest();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(blockBytes * blocks) + "\r\n\r\n");
        const std::string block(blockBytes, 'x');
        for (std::size_t count = 0; count < blocks && connection.send(block); ++count) {
            sent += blockBytes;
        }
    });
    http_back_end target({http_back_end_options::kind::service, server.url()}, std::make_shared<transfer_loop>());
    const auto sink = std::make_shared<recording_sink>();
    back_end_request request {"GET", "/", {}, ""};
    request.idleTimeout = 500ms; // The idle timeout must not apply while paused.
    const auto running = target.start(request, sink);
    running->pause();
    std::size_t before = 0;
    ASSERT_TRUE(eventually([&] {
        std::this_thread::sleep_for(300ms);
        return std::exchange(before, sent.load()) == sent.load() && before > 0;
    }));
    EXPECT_LT(sent, blockBytes * blocks / 2) << "the socket applies no backpressure";
    EXPECT_LT(sink->body().size(), blockBytes);
    running->resume();
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(sink->calls(), "hbe");
    EXPECT_EQ(sink->body().size(), blockBytes * blocks);
}

} // namespace
} // namespace bronzechute
