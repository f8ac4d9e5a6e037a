#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

namespace bronzechute {

namespace {

/** @returns the head of an answer that ends with its connection. */
std::string unframedHead(const standins::scripted_request &request, const char *type, const char *protocol = "HTTP/1.1")
{
    return std::string(protocol) + " 200 OK\r\nX-Request-Id: " + request.header("x-request-id")
        + "\r\nX-Signature: s\r\nContent-Type: " + type + "\r\n\r\n";
}

struct unframed_row
{
    const char *name; ///< Failure that the row guards against.
    const char *method;
    const char *path;
    std::string body; ///< What the endpoint sends before the connection ends.
    bool resets; ///< Whether the connection ends with a reset.
    int status; ///< That the caller sees.
    bool complete; ///< Whether the caller can see that the answer is complete.
    const char *protocol = "HTTP/1.1";
};

class unframed_answer : public testing::TestWithParam<unframed_row>
{
};

TEST_P(unframed_answer, isPassedOnAsWhatItIs)
{
    const unframed_row &row = GetParam();
    const bool streams = std::string(row.path).starts_with("/stream/");
    standins::scripted_server only([&](const standins::scripted_request &request,
                                       standins::raw_connection &connection) {
        connection.send(unframedHead(request, streams ? "text/event-stream" : "text/plain", row.protocol) + row.body);
        if (row.resets) {
            connection.resetOnClose();
        }
        return false;
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    const caller_answer answer = gateway.request(row.method, row.path, callerHeaders);
    EXPECT_EQ(answer.status, row.status);
    if (row.status == 200) {
        EXPECT_EQ(answer.complete, row.complete);
    }
    if (row.status == 200 && row.complete) {
        EXPECT_EQ(answer.body, row.body);
        const bool framed = !answer.header("content-length").empty() || answer.header("transfer-encoding") == "chunked";
        EXPECT_TRUE(framed) << answer.head;
    }
    if (std::string(row.path).starts_with("/order/")) {
        EXPECT_EQ(only.requests(), 1);
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, unframed_answer,
    testing::Values(
        unframed_row {"whole_answer_is_refused", "GET", "/read/x", "body", false, 200, true},
        unframed_row {"empty_answer_is_refused", "GET", "/read/x", "", false, 200, true},
        unframed_row {"reset_answer_looks_complete", "GET", "/read/x", "bo", true, 502, false},
        unframed_row {"order_is_repeated", "POST", "/order/x", "booked", false, 200, true},
        unframed_row {"reset_order_is_repeated", "POST", "/order/x", "book", true, 502, false},
        unframed_row {"stream_is_cut", "POST", "/stream/x", eventRange(1, 3), false, 200, true},
        unframed_row {"old_protocol_is_refused", "POST", "/stream/x", eventRange(1, 3), false, 200, true, "HTTP/1.0"},
        unframed_row {"stream_that_ends_inside_an_event_looks_complete", "POST", "/stream/x",
                      eventRange(1, 2) + "id: 3\ndata: tok", false, 200, false},
        unframed_row {"stream_that_ends_before_the_empty_line_looks_complete", "POST", "/stream/x",
                      eventRange(1, 2) + "id: 3\ndata: token 3\n", false, 200, false},
        unframed_row {"stream_without_an_event_looks_complete", "POST", "/stream/x", "", false, 502, false}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(unframed_stream, thatEndsInsideAnEventIsResumedElsewhere)
{
    standins::scripted_server breaks(
        [](const standins::scripted_request &request, standins::raw_connection &connection) {
            connection.send(unframedHead(request, "text/event-stream") + eventRange(1, 2) + "id: 3\nda");
            return false;
        });
    standins::scripted_server continues(
        [](const standins::scripted_request &request, standins::raw_connection &connection) {
            const std::string after = request.header("last-event-id");
            const int first = after.empty() ? 1 : std::stoi(after) + 1;
            connection.send(unframedHead(request, "text/event-stream") + eventRange(first, 5));
            return false;
        });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", breaks.address());
    gateway.addEndpoint("e2", continues.address());
    // The endpoint is drawn: each request has an even chance to go to the one that breaks off.
    constexpr int leastRequests = 6;
    constexpr int mostRequests = 100;
    for (int request = 0; request < leastRequests || (breaks.requests() == 0 && request < mostRequests); ++request) {
        const caller_answer answer = gateway.request("POST", "/stream/x", callerHeaders);
        EXPECT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.body, eventRange(1, 5));
    }
    EXPECT_GT(breaks.requests(), 0);
}

} // namespace

} // namespace bronzechute
