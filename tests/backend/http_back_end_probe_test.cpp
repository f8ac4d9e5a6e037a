#include "backend/http_back_end.h"
#include "eventually.h"
#include "recording_sink.h"
#include "standins/model_engine.h"
#include "standins/plain_service.h"
#include "standins/raw_server.h"

#include <gtest/gtest.h>

#include <atomic>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using standins::raw_connection;
using standins::recording_sink;

constexpr auto engineKind = http_back_end_options::kind::engine;

// Guards against opening a new connection for each probe or other safe request.
TEST(http_back_end, reusesConnectionsForReads)
{
    std::atomic<int> connections {0};
    standins::raw_server server([&connections](raw_connection &connection, int) {
        ++connections;
        while (!connection.readRequest().empty()) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    http_back_end target({http_back_end_options::kind::service, server.url()}, std::make_shared<transfer_loop>());
    for (int count = 0; count < 5; ++count) {
        EXPECT_TRUE(target.probe().reachable);
    }
    EXPECT_EQ(connections, 1);
}

struct probe_row
{
    const char *name; ///< The failure that the row guards against.
    std::string answer;
    back_end_load load;
};

class back_end_probe : public testing::TestWithParam<probe_row>
{
};

TEST_P(back_end_probe, readsTheEnginesPage)
{
    standins::raw_server server([](raw_connection &connection, int) {
        connection.readRequest();
        connection.send(GetParam().answer);
    });
    http_back_end engine({engineKind, server.url()}, std::make_shared<transfer_loop>());
    EXPECT_EQ(engine.probe(), GetParam().load);
}

const std::string pageHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
INSTANTIATE_TEST_SUITE_P(
    rows, back_end_probe,
    testing::Values(
        probe_row {"labels_not_read", pageHead + "vllm:num_requests_running{m=\"a}\"} 3.0\n", {true, "", 3, 0, 0}},
        probe_row {"label_sets_not_added",
                   pageHead + "vllm:num_requests_waiting{m=\"a\"} 1\nvllm:num_requests_waiting 2",
                   {true, "", 0, 3, 0}},
        probe_row {"longer_name_read", pageHead + "vllm:num_requests_running_total 9\n", {true, "", 0, 0, 0}},
        probe_row {"start_id_rounded",
                   pageHead + "process_start_time_seconds 1.79635095847e+09\n",
                   {true, "1.79635095847e+09", 0, 0, 0}},
        probe_row {"cache_not_read", pageHead + "vllm:gpu_cache_usage_perc 0.25\n", {true, "", 0, 0, 0.25}},
        probe_row {"newer_cache_name_not_read", pageHead + "vllm:kv_cache_usage_perc 0.5\n", {true, "", 0, 0, 0.5}},
        probe_row {"token_time_not_read",
                   pageHead + "vllm:time_per_output_token_seconds_sum 2\nvllm:time_per_output_token_seconds_count 4\n",
                   {true, "", 0, 0, 0, 4, 0.5}},
        probe_row {"error_page_seen_as_reachable", "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n", {}},
        probe_row {"silence_seen_as_reachable", "", {}}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against a probe that blocks for as long as the engine sends nothing.
TEST(http_back_end, probeTimesOut)
{
    standins::raw_server server([](raw_connection &connection, int) { connection.waitForClose(); });
    http_back_end_options options {engineKind, server.url()};
    options.probeTimeout = 200ms;
    http_back_end engine(options, std::make_shared<transfer_loop>());
    EXPECT_EQ(engine.probe(), back_end_load {});
}

// Guards against reading metric names or paths that the stand-ins do not serve.
TEST(http_back_end, probesTheStandIns)
{
    auto engine = standins::model_engine::start({});
    auto service = standins::plain_service::start({});
    ASSERT_TRUE(engine && service);
    const auto loop = std::make_shared<transfer_loop>();
    http_back_end engineTarget({engineKind, engine.value()->url()}, loop);
    http_back_end serviceTarget({http_back_end_options::kind::service, service.value()->url()}, loop);
    EXPECT_TRUE(serviceTarget.probe().reachable);
    EXPECT_FALSE(engineTarget.probe().startId.empty());
    const auto sink = std::make_shared<recording_sink>();
    const auto running = engineTarget.start(
        {"POST", "/v1/completions", {}, R"({"prompt": "a", "max_tokens": 5000, "stream": true})"}, sink);
    EXPECT_TRUE(eventually([&] { return engineTarget.probe().running == 1; }));
    running->cancel();
    EXPECT_TRUE(eventually([&] { return engineTarget.probe().running == 0; }));
}

} // namespace
} // namespace bronzechute
