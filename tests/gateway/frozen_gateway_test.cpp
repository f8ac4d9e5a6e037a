#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds shortTimeout {200}; ///< For the header and for the rest of a request.
constexpr std::chrono::milliseconds longPause {500}; ///< Of the gateway; the timeout expires meanwhile.

struct freeze_row
{
    const char *name; ///< Failure that the row guards against.
    std::string first; ///< Sent before the pause.
    std::string rest; ///< Sent during it.
};

const std::string frozenOrderHead = "POST /order/x HTTP/1.1\r\nHost: example\r\nX-Request-Id: r1\r\n";

// A handler that was queued before a state change must not act after it: a caller was told "not run" (408), and its
// order ran.
class frozen_gateway : public testing::TestWithParam<freeze_row>
{
};

TEST_P(frozen_gateway, answersOnceAndDoesNotRunWhatItRefused)
{
    std::atomic<int> runs {0};
    standins::scripted_server only(
        [&](const standins::scripted_request &request, standins::raw_connection &connection) {
            ++runs;
            return connection.send(answerTo(request, "booked"));
        });
    gateway_harness gateway;
    routing_document document = gateway_harness::defaultDocument();
    document.limits.headerTimeout = shortTimeout;
    document.limits.idleTimeout = shortTimeout;
    gateway.applyDocument(document);
    gateway.addEndpoint("e1", only.address());
    for (int round = 0; round < 5; ++round) {
        runs = 0;
        caller_connection caller = gateway.connect();
        caller.send(GetParam().first);
        std::this_thread::sleep_for(50ms);
        gateway.freeze(longPause);
        std::this_thread::sleep_for(20ms);
        caller.send(GetParam().rest);
        const caller_answer answer = caller.read();
        EXPECT_TRUE(answer.complete);
        EXPECT_TRUE(answer.status == 200 || answer.status == 408) << answer.status;
        EXPECT_EQ(caller.read(300ms).status, 0) << "a second answer to one request";
        EXPECT_EQ(runs, answer.status == 200 ? 1 : 0) << "status " << answer.status;
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, frozen_gateway,
    testing::Values(
        freeze_row {"order_runs_after_timeout_of_its_header", frozenOrderHead.substr(0, 30),
                    frozenOrderHead.substr(30) + "Content-Length: 5\r\n\r\norder"},
        freeze_row {"order_runs_after_timeout_before_its_body", frozenOrderHead, "Content-Length: 5\r\n\r\norder"},
        freeze_row {"order_runs_after_timeout_of_its_body", frozenOrderHead + "Content-Length: 5\r\n\r\nor", "der"},
        freeze_row {"order_runs_after_timeout_between_chunks",
                    frozenOrderHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nor\r\n", "3\r\nder\r\n0\r\n\r\n"},
        freeze_row {"order_runs_after_timeout_of_its_header_without_a_body", frozenOrderHead.substr(0, 30),
                    frozenOrderHead.substr(30) + "Content-Length: 0\r\n\r\n"}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(frozen_connection, thatTimedOutWhileIdleServesNoFurtherRequest)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        return connection.send(answerTo(request, "booked"));
    });
    gateway_harness gateway;
    routing_document document = gateway_harness::defaultDocument();
    document.limits.idleTimeout = shortTimeout;
    gateway.applyDocument(document);
    gateway.addEndpoint("e1", only.address());
    caller_connection caller = gateway.connect();
    const std::string order = frozenOrderHead + "Content-Length: 0\r\n\r\n";
    caller.send(order);
    EXPECT_EQ(caller.read().status, 200);
    gateway.freeze(longPause);
    std::this_thread::sleep_for(20ms);
    caller.send(order);
    // The connection was closed before the request was read, or the request is served in full.
    const caller_answer answer = caller.read();
    EXPECT_EQ(only.requests(), answer.status == 200 ? 2 : 1);
}

/** A kept connection that a pause of the gateway leaves with a request that has arrived and was not read. */
class request_during_a_pause : public testing::Test
{
protected:
    request_during_a_pause()
        : m_only([](const standins::scripted_request &request, standins::raw_connection &connection) {
            return connection.send(answerTo(request, "booked"));
        })
    {
    }

    /** @returns the status of a second request that is sent on a kept connection during a pause */
    int statusOfSecond(const std::function<void()> &meanwhile)
    {
        m_gateway.addEndpoint("e1", m_only.address());
        caller_connection caller = m_gateway.connect();
        const std::string order = frozenOrderHead + "Content-Length: 0\r\n\r\n";
        caller.send(order);
        EXPECT_EQ(caller.read().status, 200);
        m_gateway.freeze(longPause);
        std::this_thread::sleep_for(20ms);
        std::jthread other(meanwhile);
        std::this_thread::sleep_for(20ms);
        caller.send(order);
        return caller.read().status;
    }

    standins::scripted_server m_only;
    gateway_harness m_gateway;
};

// Guards against callers that are cut off by the close of an idle connection although their request had arrived.
TEST_F(request_during_a_pause, isServedAlthoughAStopHasBegun)
{
    m_gateway.applyDocument(gateway_harness::defaultDocument());
    EXPECT_EQ(statusOfSecond([this] { m_gateway.role().drain(); }), 200);
}

TEST_F(request_during_a_pause, isServedAlthoughTheConnectionTimedOut)
{
    routing_document document = gateway_harness::defaultDocument();
    document.limits.idleTimeout = shortTimeout;
    m_gateway.applyDocument(document);
    EXPECT_EQ(statusOfSecond([] {}), 200);
}

} // namespace

} // namespace bronzechute
