#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

using answer_function = std::function<bool(const standins::scripted_request &, standins::raw_connection &)>;

// Longer than a gateway waits for an event, shorter than a caller does.
constexpr auto silence = 1700ms;
constexpr const char *patientHeaders = "X-Request-Id: r1\r\nX-Timeout-Ms: 3500\r\n";

/** Sends three events, is silent for a while, and sends the rest. */
bool pauseInTheMiddle(const standins::scripted_request &request, standins::raw_connection &connection)
{
    connection.send(streamHead(request) + chunk(eventRange(1, 3)));
    std::this_thread::sleep_for(silence);
    return connection.send(chunk(eventRange(4, 6)) + "0\r\n\r\n");
}

/** Sends three events, and nothing more until the gateway leaves. */
bool stopInTheMiddle(const standins::scripted_request &request, standins::raw_connection &connection)
{
    connection.send(streamHead(request) + chunk(eventRange(1, 3)));
    connection.waitForClose();
    return false;
}

/** Sends three events, and breaks off after a while. */
bool breakInTheMiddle(const standins::scripted_request &request, standins::raw_connection &connection)
{
    connection.send(streamHead(request) + chunk(eventRange(1, 3)));
    std::this_thread::sleep_for(silence);
    return false;
}

bool pauseBeforeTheBegin(const standins::scripted_request &request, standins::raw_connection &connection)
{
    std::this_thread::sleep_for(silence);
    return connection.send(answerTo(request, "text"));
}

bool resume(const standins::scripted_request &request, standins::raw_connection &connection)
{
    const int after = std::atoi(request.header("last-event-id").c_str());
    return connection.send(streamHead(request) + chunk(eventRange(after + 1, 6)) + "0\r\n\r\n");
}

bool resumeLate(const standins::scripted_request &request, standins::raw_connection &connection)
{
    std::this_thread::sleep_for(2 * silence / 3);
    return resume(request, connection);
}

bool turnAway(const standins::scripted_request &, standins::raw_connection &connection)
{
    return connection.send("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
}

bool failAtOnce(const standins::scripted_request &request, standins::raw_connection &connection)
{
    return connection.send(answerTo(request, "out of memory", 500));
}

bool closeAtOnce(const standins::scripted_request &, standins::raw_connection &)
{
    return false;
}

bool sayNothing(const standins::scripted_request &, standins::raw_connection &connection)
{
    connection.waitForClose();
    return false;
}

struct silence_row
{
    const char *name; ///< Failure that the row guards against.
    const char *method;
    const char *path;
    answer_function first; ///< What the endpoint does that gets the request first.
    answer_function second; ///< What another one does; empty: there is no other one.
    std::string body; ///< That the caller gets.
    int requests; ///< That the endpoints get.
};

class silent_endpoint : public testing::TestWithParam<silence_row>
{
};

// The attempt at an endpoint that is only silent must not be given up before another one has begun to answer.
TEST_P(silent_endpoint, isLeftOnlyForOneThatAnswers)
{
    const silence_row &row = GetParam();
    std::atomic<int> requests {0};
    const auto serve = [&](const standins::scripted_request &request, standins::raw_connection &connection) {
        return ++requests == 1 ? row.first(request, connection) : row.second(request, connection);
    };
    standins::scripted_server one(serve);
    standins::scripted_server other(serve);
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", one.address());
    if (row.second) {
        gateway.addEndpoint("e2", other.address());
    }
    const caller_answer answer = gateway.request(row.method, row.path, patientHeaders, "prompt");
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.body, row.body);
    EXPECT_EQ(requests, row.requests);
}

const std::string wholeStream = eventRange(1, 6);

INSTANTIATE_TEST_SUITE_P(
    rows, silent_endpoint,
    testing::Values(
        silence_row {"stream_at_the_only_endpoint_is_cut", "POST", "/stream/x", pauseInTheMiddle, {}, wholeStream, 1},
        silence_row {"stream_is_cut_as_the_other_endpoint_is_full", "POST", "/stream/x", pauseInTheMiddle, turnAway,
                     wholeStream, 2},
        silence_row {"stream_is_cut_as_the_other_endpoint_fails", "POST", "/stream/x", pauseInTheMiddle, failAtOnce,
                     wholeStream, 2},
        silence_row {"stream_is_cut_as_the_other_endpoint_closes", "POST", "/stream/x", pauseInTheMiddle, closeAtOnce,
                     wholeStream, 2},
        silence_row {"stream_is_cut_as_the_other_endpoint_is_silent", "POST", "/stream/x", pauseInTheMiddle, sayNothing,
                     wholeStream, 2},
        silence_row {"stream_at_a_stopped_endpoint_is_not_resumed", "POST", "/stream/x", stopInTheMiddle, resume,
                     wholeStream, 2},
        silence_row {"stream_that_breaks_off_loses_its_replacement", "POST", "/stream/x", breakInTheMiddle, resumeLate,
                     wholeStream, 2},
        silence_row {"read_at_the_only_endpoint_is_given_up", "GET", "/read/x", pauseBeforeTheBegin, {}, "text", 1},
        silence_row {"read_is_given_up_as_the_other_endpoint_is_full", "GET", "/read/x", pauseBeforeTheBegin, turnAway,
                     "text", 2},
        silence_row {"read_is_given_up_as_the_other_endpoint_fails", "GET", "/read/x", pauseBeforeTheBegin, failAtOnce,
                     "text", 2}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace

} // namespace bronzechute
