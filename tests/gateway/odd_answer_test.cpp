#include "gateway_harness.h"
#include "scripted_answers.h"
#include "standins/odd_answer.h"

#include <gtest/gtest.h>

#include <tuple>

namespace bronzechute {

namespace {

using odd_answer_row = std::tuple<standins::odd_answer, const char *>;

class odd_answer : public testing::TestWithParam<odd_answer_row>
{
};

// Bytes that break the rules of HTTP must not reach a caller as an answer, neither as they are nor read leniently.
TEST_P(odd_answer, isNoAnswerForACaller)
{
    const auto &[odd, path] = GetParam();
    standins::scripted_server only([&odd = odd](const standins::scripted_request &request,
                                                standins::raw_connection &connection) {
        connection.send(odd.statusLine + "\r\nX-Request-Id: " + request.header("x-request-id")
                        + "\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\n" + odd.fields + "\r\n" + odd.body);
        return false;
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    const caller_answer answer = gateway.request("POST", path, callerHeaders, "prompt");
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(answer.head.find("Odd"), std::string::npos) << answer.head;
    EXPECT_EQ(answer.body, "");
}

INSTANTIATE_TEST_SUITE_P(rows, odd_answer,
                         testing::Combine(testing::ValuesIn(standins::oddAnswers()),
                                          testing::Values("/order/x", "/stream/x")),
                         [](const auto &row) {
                             const std::string path = std::get<1>(row.param);
                             return std::get<0>(row.param).name + "_" + path.substr(1, path.rfind('/') - 1);
                         });

} // namespace

} // namespace bronzechute
