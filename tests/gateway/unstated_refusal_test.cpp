#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

#include <atomic>
#include <string>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

struct unstated_row
{
    const char *name; ///< Failure that the row guards against.
    const char *path;
    int status; ///< Of the endpoint, which has run the request.
    const char *fields; ///< More fields of its response.
    int expected; ///< Status that the caller gets.
};

class unstated_refusal : public testing::TestWithParam<unstated_row>
{
};

// A failing endpoint runs a request and answers with a status that promises callers that it has not run.
TEST_P(unstated_refusal, isNoPromiseToTheCaller)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        std::string answer = answerTo(request, "failed", GetParam().status);
        answer.insert(answer.find("\r\n") + 2, GetParam().fields);
        return connection.send(answer);
    });
    routing_document document = gateway_harness::defaultDocument();
    document.routes.front().maxAttempts = 1; // There is no other endpoint to try.
    document.routes.back().resumable = false;
    gateway_harness gateway;
    gateway.applyDocument(document);
    gateway.addEndpoint("e1", only.address());
    const caller_answer answer = gateway.request("POST", GetParam().path, callerHeaders, "body");
    EXPECT_EQ(answer.status, GetParam().expected);
    EXPECT_TRUE(answer.complete);
    EXPECT_EQ(answer.header("x-request-id"), "r1");
    const bool isEndpointsOwn = GetParam().status == GetParam().expected;
    EXPECT_EQ(answer.header("x-signature"), isEndpointsOwn ? "s" : "");
    EXPECT_EQ(answer.body, isEndpointsOwn ? "failed" : "");
    EXPECT_GE(only.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    rows, unstated_refusal,
    testing::Values(
        unstated_row {"order_that_ran_is_told_unavailable", "/order/x", 503, "", 502},
        unstated_row {"order_that_ran_is_told_to_come_back", "/order/x", 503, "Retry-After: 1\r\n", 502},
        unstated_row {"order_that_ran_is_told_of_too_many_requests", "/order/x", 429, "", 502},
        unstated_row {"order_that_ran_is_told_of_its_timeout", "/order/x", 408, "", 502},
        unstated_row {"stream_that_must_not_repeat_is_told_unavailable", "/stream/x", 503, "", 502},
        unstated_row {"stream_that_must_not_repeat_is_told_of_too_many_requests", "/stream/x", 429, "", 502},
        unstated_row {"failure_that_promises_nothing_is_replaced", "/order/x", 500, "", 500},
        unstated_row {"endpoints_own_rejection_is_replaced", "/order/x", 409, "", 409},
        unstated_row {"failure_of_a_read_is_replaced", "/read/x", 503, "", 503},
        unstated_row {"refusal_with_its_statement_is_taken_for_a_run", "/order/x", 429, "X-Not-Run: 1\r\n", 503}),
    [](const auto &row) { return std::string(row.param.name); });

// The outcome is known with the head: the caller does not wait for a body that does not come.
TEST(unstated_refusal, isAnsweredBeforeItsBodyHasCome)
{
    standins::scripted_server only([](const standins::scripted_request &request, standins::raw_connection &connection) {
        const std::string whole = answerTo(request, "failed", 503);
        connection.send(whole.substr(0, whole.size() - 1));
        connection.closesWithin(2s);
        return false;
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    const time_point begin = boot_clock::now();
    EXPECT_EQ(gateway.request("POST", "/order/x", callerHeaders, "body").status, 502);
    EXPECT_LT(boot_clock::now() - begin, 500ms) << "its deadline is 1 s";
}

} // namespace

} // namespace bronzechute
