#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

/** @returns routes whose requests may last longer than a drain. */
routing_document patientDocument()
{
    routing_document document = gateway_harness::defaultDocument();
    for (route &each : document.routes) {
        each.timeout = 10s;
    }
    return document;
}

TEST(gateway_caller, thatDisconnectsFreesItsEndpoint)
{
    std::promise<bool> freed;
    standins::scripted_server only([&](const standins::scripted_request &, standins::raw_connection &connection) {
        freed.set_value(connection.closesWithin(2s));
        return false;
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    gateway.requestAndDisconnect("/order/x", 100ms);
    EXPECT_TRUE(freed.get_future().get());
}

TEST(gateway_start, rejectsRequestsBeforeItHasARoute)
{
    gateway_harness gateway;
    EXPECT_EQ(gateway.requestStatus("/ready").status, 503);
    const caller_answer answer = gateway.request("GET", "/read/x", callerHeaders);
    EXPECT_EQ(answer.status, 503);
    EXPECT_FALSE(answer.header("retry-after").empty());
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", "127.0.0.1:9");
    EXPECT_EQ(gateway.requestStatus("/ready").status, 200);
}

TEST(gateway_configuration, ignoresOlderVersions)
{
    gateway_harness gateway;
    routing_document newer = gateway_harness::defaultDocument();
    newer.version = 9;
    newer.routes.erase(newer.routes.begin());
    gateway.applyDocument(newer);
    gateway.applyDocument(gateway_harness::defaultDocument());
    EXPECT_EQ(gateway.request("GET", "/read/x", callerHeaders).status, 404);
}

TEST(gateway_endpoint, thatWasRemovedGetsNoNewRequests)
{
    standins::scripted_server first(
        [](const standins::scripted_request &request, standins::raw_connection &connection) {
            return connection.send(answerTo(request, "first"));
        });
    standins::scripted_server second(
        [](const standins::scripted_request &request, standins::raw_connection &connection) {
            return connection.send(answerTo(request, "second"));
        });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", first.address());
    gateway.addEndpoint("e2", second.address());
    gateway.removeEndpoint("e1");
    for (int count = 0; count < 10; ++count) {
        EXPECT_EQ(gateway.request("GET", "/read/x", callerHeaders).body, "second");
    }
    EXPECT_EQ(first.requests(), 0);
}

TEST(gateway_drain, finishesRequestsInFlight)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        std::this_thread::sleep_for(300ms);
        return connection.send(answerTo(request, "whole"));
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    std::promise<caller_answer> answered;
    std::thread caller([&] { answered.set_value(gateway.request("GET", "/order/x", callerHeaders)); });
    while (only.requests() == 0) {
        std::this_thread::sleep_for(1ms);
    }
    EXPECT_TRUE(gateway.role().drain());
    caller.join();
    const caller_answer answer = answered.get_future().get();
    EXPECT_EQ(answer.body, "whole");
    EXPECT_EQ(answer.header("connection"), "close");
}

TEST(gateway_drain, acceptsLateRequestsOnlyIfTheyEndBeforeShutdown)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        if (request.target == "/order/slow") {
            std::this_thread::sleep_for(3500ms);
        }
        return connection.send(answerTo(request, "whole"));
    });
    gateway_harness gateway(5000ms);
    gateway.applyDocument(patientDocument());
    gateway.addEndpoint("e1", only.address());
    std::thread drain([&] { gateway.role().drain(); });
    // A request from early in the drain keeps the gateway busy.
    std::thread busy([&] { gateway.request("GET", "/order/slow", "X-Request-Id: r1\r\n"); });
    std::this_thread::sleep_for(2900ms);
    const std::string shortTime = "X-Request-Id: r2\r\nX-Timeout-Ms: 300\r\n";
    const std::string longTime = "X-Request-Id: r3\r\nX-Timeout-Ms: 1900\r\n";
    const int accepted = gateway.request("GET", "/read/x", shortTime).status;
    const int refused = gateway.request("GET", "/read/x", longTime).status;
    drain.join();
    busy.join();
    EXPECT_EQ(accepted, 200);
    EXPECT_EQ(refused, 503);
}

// Guards against requests that are passed on while the threads of the process are being ended, and then cut.
TEST(gateway_drain, takesNoRequestAfterItsEnd)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        return connection.send(answerTo(request, "whole"));
    });
    gateway_harness gateway(8000ms);
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    caller_connection unused = gateway.connect();
    EXPECT_TRUE(gateway.role().drain());
    unused.send("GET /order/x HTTP/1.1\r\nHost: example\r\n" + std::string(callerHeaders) + "\r\n");
    EXPECT_NE(unused.read().status, 200);
    EXPECT_EQ(only.requests(), 0);
}

// Guards against callers that see nothing but a closed connection when the time of a stop is over.
TEST(gateway_drain, answersAtItsEndWhatIsStillInFlight)
{
    standins::scripted_server only([](const standins::scripted_request &, standins::raw_connection &connection) {
        connection.waitForClose();
        return false;
    });
    gateway_harness gateway;
    gateway.applyDocument(patientDocument());
    gateway.addEndpoint("e1", only.address());
    caller_connection caller = gateway.connect();
    caller.send("POST /order/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
    while (only.requests() == 0) {
        std::this_thread::sleep_for(1ms);
    }
    EXPECT_FALSE(gateway.role().drain());
    const caller_answer answer = caller.read();
    EXPECT_EQ(answer.status, 502);
    EXPECT_TRUE(answer.complete);
}

} // namespace

} // namespace bronzechute
