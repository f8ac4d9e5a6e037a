#include "config/selector.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct match_row
{
    const char *name; ///< The failure that the row guards against.
    const char *selector;
    label_set labels;
    bool matches;
};

class selector_match : public testing::TestWithParam<match_row>
{
};

TEST_P(selector_match, comparesLabels)
{
    const auto parsed = selector::parse(GetParam().selector);
    ASSERT_TRUE(parsed) << parsed.error().toString();
    EXPECT_EQ(parsed.value().matches(GetParam().labels), GetParam().matches);
    EXPECT_EQ(parsed.value().text(), GetParam().selector);
}

INSTANTIATE_TEST_SUITE_P(
    rows, selector_match,
    testing::Values(match_row{"empty_selector_matches_nothing", "", {{"a", "1"}}, true},
                    match_row{"equal_value_missed", "a=1", {{"a", "1"}}, true},
                    match_row{"other_value_matched", "a=1", {{"a", "2"}}, false},
                    match_row{"absent_key_matched", "a=1", {{"b", "1"}}, false},
                    match_row{"unequal_missed_on_absent_key", "a!=1", {}, true},
                    match_row{"unequal_matched_equal_value", "a!=1", {{"a", "1"}}, false},
                    match_row{"list_read_only_to_its_first_value", "a in (1, 2)", {{"a", "2"}}, true},
                    match_row{"list_matched_a_value_outside", "a in (1,2)", {{"a", "3"}}, false},
                    match_row{"notin_missed_on_absent_key", "a notin (1,2)", {}, true},
                    match_row{"notin_matched_a_listed_value", "a notin (1,2)", {{"a", "1"}}, false},
                    match_row{"existing_key_missed", "a", {{"a", "1"}}, true},
                    match_row{"negation_ignored", "!a", {{"a", "1"}}, false},
                    match_row{"one_term_of_two_sufficed", "a=1, b", {{"a", "1"}}, false},
                    match_row{"key_that_begins_with_in_split", "in=1,index", {{"in", "1"}, {"index", "2"}}, true}),
    [](const auto &row) { return std::string(row.param.name); });

struct invalid_row
{
    const char *name; ///< The failure that the row guards against.
    const char *selector;
    const char *detail;
};

class selector_error : public testing::TestWithParam<invalid_row>
{
};

TEST_P(selector_error, namesTheTerm)
{
    const auto parsed = selector::parse(GetParam().selector);
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().code, errc::invalid_argument);
    EXPECT_EQ(parsed.error().detail, GetParam().detail);
}

INSTANTIATE_TEST_SUITE_P(
    rows, selector_error,
    testing::Values(
        invalid_row{"trailing_comma_matched_all", "a=1,", "term \"\": a term is missing beside a comma"},
        invalid_row{"open_list_accepted", "a in (1",
                    "term \"a in (1\": the key has to be 1 to 128 letters, digits, '.', '_', '-', '/' or ':'"},
        invalid_row{"list_without_in_accepted", "a (1)",
                    "term \"a (1)\": a list in parentheses has to follow \"key in\" or \"key notin\""},
        invalid_row{"empty_list_accepted", "a in ()",
                    "term \"a in ()\": each value has to be 1 to 128 letters, digits, '.', '_', '-', '/' or ':'"},
        invalid_row{"double_equals_taken_for_a_value", "a==1",
                    "term \"a==1\": each value has to be 1 to 128 letters, digits, '.', '_', '-', '/' or ':'"},
        invalid_row{"empty_key_accepted", "=1",
                    "term \"=1\": the key has to be 1 to 128 letters, digits, '.', '_', '-', '/' or ':'"}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
