#include "policy/prefix_index.h"

#include <gtest/gtest.h>

#include <functional>

namespace bronzechute {
namespace {

const std::vector<std::uint64_t> four {1, 2, 3, 4};

struct prefix_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(prefix_index &)> drive; ///< The index holds at most 6 blocks.
    std::vector<prefix_match> expected; ///< Result for the chain 1, 2, 3, 4.
};

class prefix_table : public testing::TestWithParam<prefix_row>
{
};

TEST_P(prefix_table, matchesChain)
{
    prefix_index index(6);
    GetParam().drive(index);
    EXPECT_EQ(index.find(four), GetParam().expected);
    EXPECT_LE(index.size(), 6U);
}

INSTANTIATE_TEST_SUITE_P(
    rows, prefix_table,
    testing::Values(prefix_row {"unknown_matches", [](auto &) {}, {}},
                    prefix_row {"served_prefix_not_found", [](auto &i) { i.record(four, 7); }, {{7, 1.0}}},
                    prefix_row {"longer_match_not_first",
                                [](auto &i) {
                                    i.record(four, 7);
                                    i.record(std::vector<std::uint64_t> {1, 2}, 8);
                                },
                                {{7, 1.0}, {8, 0.5}}},
                    prefix_row {"lost_cache_still_matches",
                                [](auto &i) {
                                    i.record(four, 7);
                                    i.forget(7);
                                },
                                {}},
                    prefix_row {"old_blocks_never_forgotten",
                                [](auto &i) {
                                    i.record(four, 7);
                                    i.record(std::vector<std::uint64_t> {11, 12, 13, 14, 15, 16}, 8);
                                },
                                {}},
                    prefix_row {"first_blocks_forgotten_before_last",
                                [](auto &i) {
                                    i.record(four, 7);
                                    i.record(std::vector<std::uint64_t> {11, 12, 13, 14}, 8);
                                },
                                {{7, 0.5}}},
                    prefix_row {"endpoints_of_a_block_unbounded",
                                [](auto &i) {
                                    for (std::uint64_t endpoint = 1; endpoint <= 5; ++endpoint) {
                                        i.record(four, endpoint);
                                    }
                                },
                                {{5, 1.0}, {4, 1.0}, {3, 1.0}, {2, 1.0}}}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against equal hashes for prompts that differ in an earlier block, and against different hashes for prompts
// that are equal up to the end of the block.
TEST(prefix_chain, dependsOnAllBlocksSoFar)
{
    const auto first = prefix_index::chain("aaaabbbbcc", 4);
    const auto second = prefix_index::chain("aaaabbbbdddd", 4);
    const auto third = prefix_index::chain("xxxxbbbb", 4);
    ASSERT_EQ(first.size(), 2U);
    ASSERT_EQ(second.size(), 3U);
    EXPECT_EQ(first[1], second[1]);
    EXPECT_NE(first[1], third[1]);
    EXPECT_EQ(prefix_index::chain("aaaabbbbcc", 4, 1).size(), 1U);
}

} // namespace
} // namespace bronzechute
