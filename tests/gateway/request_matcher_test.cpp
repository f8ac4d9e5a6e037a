#include "gateway/prompt_parts.h"
#include "gateway/request_matcher.h"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <set>

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

/** @returns the plan for a request to a stream with these fields. */
exchange_plan planFor(header_list headers)
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
    request.headers = std::move(headers);
    request.headers.emplace_back("Host", "example");
    std::mt19937_64 random(1);
    auto matched = matchRequest(request, std::make_shared<routing_table>(document), {}, random);
    if (const auto *rejection = std::get_if<request_rejection>(&matched)) {
        ADD_FAILURE() << rejection->cause;
        return {};
    }
    return std::get<exchange_plan>(std::move(matched));
}

TEST_P(expected_length, isTheEstimateWithinTheMaximum)
{
    EXPECT_EQ(planFor(GetParam().headers).expectedAnswerTokens(), GetParam().expected);
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

struct parts_row
{
    const char *name; ///< Failure that the row guards against.
    const char *field;
    std::vector<std::string> expected;
};

class shared_parts : public testing::TestWithParam<parts_row>
{
};

TEST_P(shared_parts, areAllButTheLast)
{
    EXPECT_EQ(sharedPromptParts(GetParam().field), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    rows, shared_parts,
    testing::Values(parts_row {"missing_field", "", {}}, parts_row {"own_part_is_taken_for_shared", "91bd3f06:410", {}},
                    parts_row {"middle_part_is_lost", "5c:800,91:410,e4:250", {"5c", "91"}},
                    parts_row {"repeated_part_counts_twice", "5c:800,5c:800,e4:250", {"5c"}},
                    parts_row {"blanks_belong_to_the_id", " 5c :800 ,\t91:4 , e4:250", {"5c", "91"}},
                    parts_row {"entry_without_tokens", "5c,91:410,e4:250", {"5c", "91"}},
                    parts_row {"empty_entries", ",,:7,e4:250", {}},
                    parts_row {"trailing_comma_hides_a_part", "5c:800,91:410,", {"5c", "91"}}),
    [](const auto &row) { return std::string(row.param.name); });

// A part that crashes endpoints may stand anywhere: one that is left out is never refused.
TEST(shared_parts, areAllThatTheFieldHas)
{
    constexpr int pairs = 1000;
    std::string field;
    for (int id = 0; id < pairs; ++id) {
        field += std::string(1000, 'a') + std::to_string(id) + ":1," + std::to_string(id) + ":1,";
    }
    const auto parts = sharedPromptParts(field);
    EXPECT_EQ(parts.size(), 2 * pairs);
    EXPECT_EQ(std::set<std::string>(parts.begin(), parts.end()).size(), parts.size()) << "long ids that begin alike";
    for (const std::string &part : parts) {
        EXPECT_LE(part.size(), maxPromptPartBytes);
    }
    EXPECT_EQ(loggedParts(parts), std::vector<std::string>(parts.end() - maxLoggedParts, parts.end()));
}

// A list may come in several fields, which endpoints read as one.
TEST(shared_parts, areReadFromAllFieldsOfTheName)
{
    const exchange_plan plan = planFor({{"X-Prompt-Parts", "5c:800,91:410"}, {"x-prompt-parts", "bad:9, e4:250"}});
    EXPECT_EQ(plan.promptParts, (std::vector<std::string> {"5c", "91", "bad"}));
}

} // namespace

} // namespace bronzechute
