#include "gateway_harness.h"
#include "scripted_answers.h"

#include "base/percent_encoding.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <atomic>

namespace bronzechute {

namespace {

struct explain_row
{
    const char *name; ///< Failure that the row guards against.
    std::string query;
    int status; ///< Of the answer to the question.
    std::string decision;
    std::string cause; ///< Or the message, if the question is refused.
};

class request_explanation_of : public testing::TestWithParam<explain_row>
{
};

TEST_P(request_explanation_of, tellsWhatWouldBeDoneAndSendsNothing)
{
    std::atomic<int> requests {0};
    standins::scripted_server endpoint([&](const standins::scripted_request &request, standins::raw_connection &to) {
        ++requests;
        return to.send(answerTo(request, "answer"));
    });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    if (std::string_view(GetParam().name) != "no_endpoint_is_not_told") {
        gateway.addEndpoint("i-1", endpoint.address());
    }
    const caller_answer answer = gateway.requestStatus("/explain" + GetParam().query);
    EXPECT_EQ(answer.status, GetParam().status);
    const nlohmann::json body = nlohmann::json::parse(answer.body);
    if (GetParam().status != 200) {
        EXPECT_EQ(body["error"]["message"], GetParam().cause);
        return;
    }
    EXPECT_EQ(body["decision"], GetParam().decision);
    EXPECT_EQ(body["cause"].is_null() ? "" : body["cause"].get<std::string>(), GetParam().cause);
    if (GetParam().decision == "placed") {
        ASSERT_EQ(body["endpoints"].size(), 1U);
        EXPECT_EQ(body["endpoints"][0]["id"], "i-1");
        EXPECT_DOUBLE_EQ(body["endpoints"][0]["probability"], 1);
        EXPECT_DOUBLE_EQ(body["endpoints"][0]["cost"]["total"], 0.25);
    }
    EXPECT_EQ(requests, 0);
    EXPECT_EQ(gateway.requestStatus("/metrics").body.find("bronzechute_gateway_requests_total"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    rows, request_explanation_of,
    testing::Values(
        explain_row {"free_endpoint_is_not_found", "?target=%2Fread%2Fx&field=Host%3A%20example", 200, "placed", ""},
        explain_row {"no_endpoint_is_not_told", "?target=%2Fread%2Fx&field=Host%3Aexample", 200, "refused",
                     "no_endpoint"},
        explain_row {"missing_route_is_not_told", "?target=%2Fother&field=Host%3Aexample", 200, "rejected",
                     "no route matches the host and path"},
        explain_row {"malformed_time_is_accepted", "?target=%2Fread%2Fx&field=Host%3Aexample&field=X-Timeout-Ms%3Asoon",
                     200, "rejected", "X-Timeout-Ms is not a number of milliseconds"},
        explain_row {"question_without_target", "", 400, "", "target: missing"},
        explain_row {"relative_target", "?target=read", 400, "",
                     "target: found \"read\", expected a path that begins with /"},
        explain_row {"field_without_value", "?target=%2Fread&field=Host", 400, "",
                     "field: found \"Host\", expected NAME:VALUE"},
        explain_row {"unknown_parameter", "?to=%2Fread", 400, "",
                     "found the parameter \"to\", expected target or field"},
        explain_row {"bytes_that_are_no_text", "?target=%FF", 400, "",
                     "target: found \"\xEF\xBF\xBD\", expected a path that begins with /"},
        explain_row {"malformed_escape", "?target=%2", 400, "", "found a malformed percent escape"}),
    [](const auto &row) { return std::string(row.param.name); });

// Characters that end a parameter or are lost on the way.
TEST(percent_encoding, bringsAllBytesBack)
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
        bytes += static_cast<char>(byte);
    }
    const std::string encoded = percentEncode(bytes);
    EXPECT_EQ(encoded.find_first_of("&=? \r\n"), std::string::npos);
    EXPECT_EQ(percentDecode(encoded), bytes);
    EXPECT_EQ(percentDecode("%zz"), std::nullopt);
}

} // namespace

} // namespace bronzechute
