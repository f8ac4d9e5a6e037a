#include "gateway/request_matcher.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>

namespace bronzechute {

namespace {

struct length_row
{
    const char *name; ///< Failure that the row guards against.
    header_list headers;
    std::optional<int> expected; ///< Answer tokens.
};

class expected_length : public testing::TestWithParam<length_row>
{
};

TEST_P(expected_length, isTheEstimateWithinTheMaximum)
{
    routing_document document;
    route stream;
    stream.host = "example";
    stream.pathPrefix = "/stream/";
    stream.kind = request_kind::streaming;
    stream.timeout = std::chrono::seconds(8);
    stream.anonymous = true;
    stream.services = {{"models", 1}};
    document.routes = {stream};
    gateway_request request;
    request.method = "POST";
    request.target = "/stream/x";
    request.headers = GetParam().headers;
    request.headers.emplace_back("Host", "example");
    std::mt19937_64 random(1);
    const auto matched = matchRequest(request, std::make_shared<routing_table>(document), {}, random);
    ASSERT_TRUE(std::holds_alternative<exchange_plan>(matched)) << std::get<request_rejection>(matched).cause;
    EXPECT_EQ(std::get<exchange_plan>(matched).expectedAnswerTokens(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    rows, expected_length,
    testing::Values(length_row {"unknown_length_refuses_streams", {{"X-Tokens", "400,350"}}, std::nullopt},
                    length_row {"maximum_counts_as_estimate", {{"X-Tokens", "400,350"}, {"X-Answer-Tokens", "80"}}, 80},
                    length_row {
                        "wild_estimate_refuses_streams", {{"X-Tokens", "4,350"}, {"X-Answer-Tokens", "9000"}}, 350},
                    length_row {"estimate_needs_a_maximum", {{"X-Answer-Tokens", "80"}}, 80},
                    length_row {"malformed_estimate_rejects", {{"X-Answer-Tokens", "soon"}}, std::nullopt},
                    length_row {"negative_estimate_counts", {{"X-Answer-Tokens", "-5"}}, std::nullopt}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace

} // namespace bronzechute
