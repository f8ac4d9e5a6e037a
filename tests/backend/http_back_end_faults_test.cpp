#include "backend/http_back_end.h"
#include "recording_sink.h"
#include "standins/raw_server.h"
#include "standins/reserved_port.h"

#include <gtest/gtest.h>

#include <ostream>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using standins::raw_connection;

/** What the server does after it has read the request. */
enum class server_action {
    refuse_connection,
    close_at_once,
    stay_silent,
    send_and_close,
    send_and_stay,
    send_slowly, ///< One byte each 20 ms, then close.
};

struct fault_row
{
    const char *name; ///< The failure that the row guards against.
    server_action action;
    std::string bytes;
    std::chrono::milliseconds idleTimeout;
    std::chrono::milliseconds deadline;
    std::string calls; ///< As in recording_sink::calls().
    std::string body;
    std::optional<errc> failure;
    bool mayHaveRun;

    friend std::ostream &operator<<(std::ostream &stream, const fault_row &row)
    {
        return stream << row.name;
    }
};

void serve(raw_connection &connection, const fault_row &row)
{
    connection.readRequest();
    switch (row.action) {
    case server_action::refuse_connection:
    case server_action::close_at_once:
        return;
    case server_action::stay_silent:
        connection.waitForClose();
        return;
    case server_action::send_and_close:
        connection.send(row.bytes);
        return;
    case server_action::send_and_stay:
        connection.send(row.bytes);
        connection.waitForClose();
        return;
    case server_action::send_slowly:
        for (const char &byte : row.bytes) {
            if (!connection.send({&byte, 1})) {
                return;
            }
            std::this_thread::sleep_for(20ms);
        }
        return;
    }
}

class back_end_fault : public testing::TestWithParam<fault_row>
{
};

TEST_P(back_end_fault, isReported)
{
    const fault_row &row = GetParam();
    standins::raw_server server([&row](raw_connection &connection, int) { serve(connection, row); });
    const standins::reserved_port unreachable;
    const std::string url =
        row.action == server_action::refuse_connection ? "http://" + unreachable.address() : server.url();
    http_back_end service({http_back_end_options::kind::service, url}, std::make_shared<transfer_loop>());
    back_end_request request;
    request.method = "POST";
    request.path = "/";
    request.body = "{}";
    request.idleTimeout = row.idleTimeout;
    request.deadline = row.deadline;
    const auto sink = std::make_shared<standins::recording_sink>();
    service.start(request, sink);
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(sink->calls(), row.calls);
    EXPECT_EQ(sink->body(), row.body);
    ASSERT_EQ(sink->failure().has_value(), row.failure.has_value());
    if (row.failure) {
        EXPECT_EQ(sink->failure()->code, *row.failure) << sink->failure()->toString();
    }
    EXPECT_EQ(sink->mayHaveRun(), row.mayHaveRun);
}

const std::string lengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    rows, back_end_fault,
    testing::Values(
        fault_row {"refused_connection_seen_as_run", server_action::refuse_connection, "", 10s, 20s, "f", "",
                   errc::unavailable, false},
        fault_row {"closed_before_the_head_seen_as_not_run", server_action::close_at_once, "", 10s, 20s, "f", "",
                   errc::unavailable, true},
        fault_row {"cut_by_length_seen_as_whole", server_action::send_and_close, lengthHead + "abc", 10s, 20s, "hbf",
                   "abc", errc::unavailable, true},
        fault_row {"cut_in_chunk_seen_as_whole", server_action::send_and_close, chunkedHead + "4\r\nab", 10s, 20s,
                   "hbf", "ab", errc::unavailable, true},
        fault_row {"missing_last_chunk_seen_as_whole", server_action::send_and_close, chunkedHead + "2\r\nab\r\n", 10s,
                   20s, "hbf", "ab", errc::unavailable, true},
        fault_row {"cut_in_the_head_seen_as_answer", server_action::send_and_close, "HTTP/1.1 200 OK\r\nConte", 10s,
                   20s, "f", "", errc::unavailable, true},
        fault_row {"not_http_seen_as_answer", server_action::send_and_close, "hello\r\n\r\n", 10s, 20s, "f", "",
                   errc::protocol_violation, true},
        fault_row {"silence_before_the_head_not_noticed", server_action::stay_silent, "", 200ms, 20s, "f", "",
                   errc::timed_out, true},
        fault_row {"silence_in_the_body_not_noticed", server_action::send_and_stay, lengthHead + "ab", 200ms, 20s,
                   "hbf", "ab", errc::timed_out, true},
        fault_row {"deadline_ignored_while_bytes_flow", server_action::send_slowly, lengthHead + "abcd", 5s, 200ms, "f",
                   "", errc::timed_out, true},
        fault_row {"slow_answer_taken_for_silence", server_action::send_slowly, lengthHead + "abcd", 5s, 20s, "hbe",
                   "abcd", std::nullopt, true},
        fault_row {"chunk_split_by_the_network_damaged", server_action::send_slowly,
                   chunkedHead + "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n", 10s, 20s, "hbe", "abcde", std::nullopt, true},
        fault_row {"interim_head_taken_for_the_answer", server_action::send_and_close,
                   "HTTP/1.1 100 Continue\r\n\r\n" + lengthHead + "abcd", 10s, 20s, "hbe", "abcd", std::nullopt, true},
        fault_row {"trailer_taken_for_a_head", server_action::send_and_close,
                   chunkedHead + "2\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n", 10s, 20s, "hbe", "ab", std::nullopt, true},
        fault_row {"error_status_taken_for_a_failure", server_action::send_and_close,
                   "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno", 10s, 20s, "hbe", "no", std::nullopt, true}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(back_end_fault, errorsNameTheServer)
{
    const standins::reserved_port unreachable;
    const std::string url = "http://" + unreachable.address();
    http_back_end service({http_back_end_options::kind::service, url}, std::make_shared<transfer_loop>());
    const auto sink = std::make_shared<standins::recording_sink>();
    service.start({"GET", "/a", {}, ""}, sink);
    ASSERT_TRUE(sink->waitForEnd());
    EXPECT_EQ(sink->failure()->peer, url + "/a");
}

} // namespace
} // namespace bronzechute
