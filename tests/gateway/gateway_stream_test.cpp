#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

#include <mutex>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

TEST(gateway_stream, resumesAtAnotherEndpointAfterTheLastCompleteEvent)
{
    std::mutex mutex;
    std::vector<std::string> resumedAfter;
    const auto breaks = [](const standins::scripted_request &request, standins::raw_connection &connection) {
        connection.send(streamHead(request) + chunk(eventRange(1, 3)) + chunk("id: 4\ndata: tok"));
        return false;
    };
    const auto continues = [&](const standins::scripted_request &request, standins::raw_connection &connection) {
        const std::string after = request.header("last-event-id");
        {
            const std::scoped_lock lock(mutex);
            resumedAfter.push_back(after);
        }
        const int first = after.empty() ? 1 : std::stoi(after) + 1;
        return connection.send(streamHead(request) + chunk(eventRange(first, 6)) + "0\r\n\r\n");
    };
    standins::scripted_server first(breaks);
    standins::scripted_server second(continues);
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", first.address());
    gateway.addEndpoint("e2", second.address());
    for (int count = 0; count < 6; ++count) {
        const caller_answer answer = gateway.request("POST", "/stream/x", callerHeaders, "prompt");
        ASSERT_EQ(answer.status, 200);
        EXPECT_TRUE(answer.complete);
        EXPECT_EQ(answer.body, eventRange(1, 6));
    }
    EXPECT_GT(first.requests(), 0) << "no stream was interrupted";
}

TEST(gateway_stream, isVisiblyTruncatedWhenItCannotBeResumed)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        connection.send(streamHead(request) + chunk(eventRange(1, 2)));
        return false;
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    const caller_answer answer = gateway.request("POST", "/stream/x", callerHeaders, "prompt");
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.complete);
}

TEST(gateway_stream, withAMissingEventIsTruncated)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        return connection.send(streamHead(request) + chunk(eventWithId(1) + eventWithId(3)) + "0\r\n\r\n");
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    const caller_answer answer = gateway.request("POST", "/stream/x", callerHeaders, "prompt");
    EXPECT_FALSE(answer.complete);
    EXPECT_EQ(answer.body.find("token 3"), std::string::npos);
}

} // namespace

} // namespace bronzechute
