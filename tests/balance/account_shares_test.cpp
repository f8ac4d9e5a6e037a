#include "balance/account_shares.h"

#include "balance/jain_index.h"

#include <gtest/gtest.h>

#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start {1h};

struct account_work
{
    std::string account;
    std::int64_t started;
    std::int64_t refused;
};

struct share_case
{
    std::string name;
    std::vector<account_work> here;
    std::vector<account_work> elsewhere;
    std::set<std::string> over;
};

class account_rule : public testing::TestWithParam<share_case>
{
};

TEST_P(account_rule, findsThoseOverTheirShare)
{
    account_shares shares;
    for (const account_work &work : GetParam().here) {
        shares.recordStarted(work.account, work.started, start);
        if (work.refused > 0) {
            shares.recordRefused(work.account, work.refused, start);
        }
    }
    account_shares::work_by_account started;
    account_shares::work_by_account refused;
    for (const account_work &work : GetParam().elsewhere) {
        started[work.account] = work.started;
        refused[work.account] = work.refused;
    }
    shares.setOthers(started, refused);
    EXPECT_EQ(shares.overShare(start), GetParam().over);
}

INSTANTIATE_TEST_SUITE_P(
    rows, account_rule,
    testing::Values(
        share_case {"large_account_put_behind_in_calm", {{"a", 900, 0}, {"b", 10, 0}}, {}, {}},
        share_case {"flood_shared_by_all", {{"a", 900, 900}, {"b", 50, 60}}, {}, {"a"}},
        share_case {"count_instead_of_work", {{"a", 100, 1}, {"b", 1000, 500}}, {}, {"b"}},
        share_case {"account_that_got_little_pays",
                    {{"a", 100, 0}, {"b", 100, 0}, {"c", 300, 400}, {"d", 600, 600}},
                    {},
                    {"d"}},
        share_case {"most_accounts_put_behind_one", {{"a", 100, 0}, {"b", 300, 400}, {"c", 600, 600}}, {}, {}},
        share_case {"equal_accounts_put_behind", {{"a", 100, 50}, {"b", 105, 40}}, {}, {}},
        share_case {"flood_over_all_gateways_unseen_here", {{"a", 30, 0}, {"b", 30, 5}}, {{"a", 900, 900}}, {"a"}},
        share_case {"only_account_put_behind", {{"a", 100, 300}}, {}, {}}, share_case {"nothing_known", {}, {}, {}}),
    [](const auto &row) { return row.param.name; });

// Guards against an account that pays long after it has stopped to flood.
TEST(account_shares, forget)
{
    account_shares shares;
    shares.recordStarted("a", 1000, start);
    shares.recordRefused("a", 1000, start);
    const time_point later = start + 1min;
    shares.recordStarted("a", 10, later);
    shares.recordStarted("b", 10, later);
    shares.recordRefused("b", 10, later);
    EXPECT_FALSE(shares.overShare(later).contains("a"));
    EXPECT_TRUE(account_shares::work_by_account(shares.started(start + 2min)).empty());
}

struct index_case
{
    std::string name;
    std::vector<double> shares;
    double expected;
};

class jain_rule : public testing::TestWithParam<index_case>
{
};

TEST_P(jain_rule, rates)
{
    EXPECT_DOUBLE_EQ(jainIndex(GetParam().shares), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(rows, jain_rule,
                         testing::Values(index_case {"equal_shares_unfair", {0.5, 0.5, 0.5}, 1},
                                         index_case {"one_has_all", {1, 0, 0, 0}, 0.25},
                                         index_case {"no_accounts", {}, 1}, index_case {"none_served", {0, 0}, 1}),
                         [](const auto &row) { return row.param.name; });

} // namespace

} // namespace bronzechute
