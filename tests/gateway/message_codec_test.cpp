#include "gateway/message_codec.h"

#include <gtest/gtest.h>

#include <string>

namespace bronzechute {

namespace {

queue_summary wholeSummary()
{
    queue_summary summary;
    summary.waiting = 4;
    summary.waitingTokens = 4000;
    summary.longestWaitMs = 350;
    summary.startsPerSecond = 30;
    summary.refusalsPerSecond = 5;
    summary.promisedReturns = 7;
    summary.tokensByAccount = {{"a", 1000}};
    summary.arrivalsPerSecond = 28;
    summary.laterReturns = {3, 2};
    summary.refusedByAccount = {{"b", 500}};
    summary.waitingByRank = {{0, 3}, {3, 1}};
    return summary;
}

TEST(queue_codec, keepsAllFields)
{
    EXPECT_EQ(decodeQueues(encodeQueues({{"models", wholeSummary()}})).at("models"), wholeSummary());
}

// Guards against a mixed fleet that loses its summaries during a release.
TEST(queue_codec, readsAndIsReadByEarlierVersions)
{
    nlohmann::json value = encodeQueues({{"models", wholeSummary()}});
    const nlohmann::json &sent = value.at("models");
    EXPECT_EQ(sent.at(0), 4);
    EXPECT_EQ(sent.at(5), 7);
    EXPECT_EQ(sent.at(6), nlohmann::json({{"a", 1000}}));
    value["models"] = nlohmann::json(sent.begin(), sent.begin() + 7);
    queue_summary expected = wholeSummary();
    expected.arrivalsPerSecond = 0;
    expected.laterReturns = {};
    expected.refusedByAccount = {};
    expected.waitingByRank = {};
    EXPECT_EQ(decodeQueues(value).at("models"), expected);
}

// Guards against reports that grow with the accounts.
TEST(queue_codec, boundsTheAccounts)
{
    queue_summary summary = wholeSummary();
    for (int number = 0; number < 500; ++number) {
        summary.tokensByAccount["account-" + std::to_string(number)] = number;
        summary.refusedByAccount["account-" + std::to_string(number)] = 500 - number;
    }
    const nlohmann::json value = encodeQueues({{"models", summary}, {"office", summary}});
    const queue_summary decoded = decodeQueues(value).at("models");
    EXPECT_EQ(decoded.tokensByAccount.size(), maxSummaryAccounts);
    EXPECT_EQ(decoded.refusedByAccount.size(), maxSummaryAccounts);
    EXPECT_TRUE(decoded.refusedByAccount.contains("account-0")) << "those with the most tokens are kept";
    // Sent twice a second, within half of the control traffic of 11,000 bytes a second.
    EXPECT_LE(2 * nlohmann::json::to_msgpack(value).size(), 5500U);
}

} // namespace

} // namespace bronzechute
