#include "gateway/attempt_headers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point arrival(1h);

struct header_row
{
    std::string name;
    std::string field;
    std::optional<std::string> expected; ///< Absent if the field must not be forwarded.
};

class forwarded_fields : public testing::TestWithParam<header_row>
{
};

TEST_P(forwarded_fields, areSetForTheAttempt)
{
    gateway_request request;
    request.method = "POST";
    request.headers = {{"Authorization", "Bearer secret"}, {"X-Account", "forged"},     {"X-Timeout-Ms", "8000"},
                       {"Content-Length", "99"},           {"Accept-Encoding", "gzip"}, {"X-Other", "kept"}};
    request.body = std::make_shared<const std::string>("12345");
    request.arrivedAt = arrival;
    exchange_plan plan;
    plan.account = "office";
    plan.deadline = arrival + 5s;
    const header_list headers = attemptHeaders(request, plan, wire_headers {}, "e-1", 7, arrival + 1500ms);
    EXPECT_EQ(findHeader(headers, GetParam().field), GetParam().expected);
    EXPECT_LE(std::ranges::count_if(headers, [](const auto &sent) { return sent.first == GetParam().field; }), 1);
}

INSTANTIATE_TEST_SUITE_P(rows, forwarded_fields,
                         testing::Values(header_row {"key_passed_on", "Authorization", std::nullopt},
                                         header_row {"forged_account_passed_on", "X-Account", "office"},
                                         header_row {"more_time_than_is_left", "X-Timeout-Ms", "3500"},
                                         header_row {"taken_by_another_endpoint", "X-Target-Endpoint", "e-1"},
                                         header_row {"stream_begins_anew", "Last-Event-ID", "7"},
                                         header_row {"wrong_length_passed_on", "Content-Length", "5"},
                                         header_row {"encoded_answer_asked_for", "Accept-Encoding", std::nullopt},
                                         header_row {"field_of_the_caller_lost", "X-Other", "kept"}),
                         [](const auto &row) { return row.param.name; });

TEST(attempt_headers, stateAPositiveTimeoutPastTheDeadline)
{
    gateway_request request;
    request.method = "GET";
    request.body = std::make_shared<const std::string>();
    exchange_plan plan;
    plan.deadline = arrival;
    const header_list headers = attemptHeaders(request, plan, wire_headers {}, "e-1", std::nullopt, arrival + 1s);
    EXPECT_EQ(findHeader(headers, "X-Timeout-Ms"), "1");
    EXPECT_EQ(findHeader(headers, "Content-Length"), std::nullopt);
    EXPECT_EQ(findHeader(headers, "Last-Event-ID"), std::nullopt);
}

} // namespace

} // namespace bronzechute
