#include "config/plain_service.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct repeat_row
{
    const char *name; ///< The failure that the row guards against.
    const char *method;
    const char *path;
    bool mayRepeat;
};

class plain_service_repeat : public testing::TestWithParam<repeat_row>
{
};

TEST_P(plain_service_repeat, followsRules)
{
    plain_service service;
    service.repeatable = {{"GET", "/stock"}, {"PUT", "/drafts/"}};
    EXPECT_EQ(service.mayRepeat(GetParam().method, GetParam().path), GetParam().mayRepeat);
}

INSTANTIATE_TEST_SUITE_P(
    rows, plain_service_repeat,
    testing::Values(repeat_row{"rule_ignored", "GET", "/stock", true},
                    repeat_row{"path_below_the_rule_missed", "GET", "/stock/4", true},
                    repeat_row{"other_method_repeated", "POST", "/stock", false},
                    repeat_row{"prefix_matched_within_a_segment", "GET", "/stocktaking", false},
                    repeat_row{"unlisted_path_repeated", "GET", "/orders", false},
                    repeat_row{"empty_path_repeated", "GET", "", false},
                    repeat_row{"dot_segments_reach_another_path", "GET", "/stock/../orders", false},
                    repeat_row{"encoded_dots_reach_another_path", "GET", "/stock/%2e%2e/orders", false},
                    repeat_row{"empty_segment_reaches_another_path", "GET", "/stock//x", false},
                    repeat_row{"rule_with_final_slash_missed", "PUT", "/drafts/1", true},
                    repeat_row{"rule_with_final_slash_matched_its_parent", "PUT", "/drafts", false}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
