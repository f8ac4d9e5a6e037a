#include "backend/collecting_sink.h"
#include "backend/http_back_end.h"
#include "standins/raw_server.h"

#include <gtest/gtest.h>

#include <atomic>

namespace bronzechute {
namespace {

constexpr std::chrono::seconds waitTimeout {20};
constexpr std::size_t bodyLimit = 1024;

collected_answer exchange(back_end &engine, const std::string &method)
{
    back_end_request request;
    request.method = method;
    request.path = "/orders";
    request.body = method == "POST" ? "order" : "";
    const auto sink = std::make_shared<collecting_sink>(bodyLimit);
    engine.start(request, sink);
    EXPECT_TRUE(sink->waitFor(waitTimeout));
    return sink->answer();
}

struct repeat_row
{
    const char *name; ///< The failure that the row guards against.
    const char *method;
    int received; ///< How often the server receives the request.
    bool answered;
};

class closed_reused_connection : public testing::TestWithParam<repeat_row>
{
};

// libcurl repeats a request when a reused connection closes without an answer, which could run a request twice. The
// server answers the first request on a connection and closes the connection on the second one without an answer, as
// after an idle timeout or a crash during the request.
TEST_P(closed_reused_connection, leadsToThisManySends)
{
    const repeat_row &row = GetParam();
    std::atomic<int> received {0};
    standins::raw_server server([&](standins::raw_connection &connection, int index) {
        connection.readRequest();
        received += index == 0 ? 0 : 1;
        if (index == 0) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            received += connection.readRequest().empty() ? 0 : 1;
        } else if (row.answered) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    http_back_end service({http_back_end_options::kind::service, server.url()}, std::make_shared<transfer_loop>());
    ASSERT_FALSE(exchange(service, "GET").failure);
    const collected_answer answer = exchange(service, row.method);
    EXPECT_EQ(received, row.received);
    EXPECT_EQ(!answer.failure, row.answered);
    EXPECT_TRUE(answer.mayHaveRun);
}

INSTANTIATE_TEST_SUITE_P(rows, closed_reused_connection,
                         testing::Values(repeat_row {"post_sent_twice", "POST", 1, false},
                                         repeat_row {"delete_sent_twice", "DELETE", 1, false},
                                         repeat_row {"get_not_sent_again", "GET", 2, true}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
