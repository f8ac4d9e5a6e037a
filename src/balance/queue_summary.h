#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <type_traits>

namespace bronzechute {

/** What one gateway, or several together, have queued, placed and refused for one service. */
struct queue_summary
{
    int waiting = 0; ///< Requests that are queued.
    std::int64_t waitingTokens = 0; ///< Tokens that they ask for, prompts and responses.
    double longestWaitMs = 0; ///< Time in the queue of the request that has been queued longest.
    double startsPerSecond = 0; ///< Requests placed at endpoints, over the last second.
    double refusalsPerSecond = 0; ///< Requests refused, over the last second.
    int promisedReturns = 0; ///< Refused callers whose Retry-After ends within the next second.
    /** Tokens placed lately, by client account. Only the accounts with the most, see maxSummaryAccounts. */
    std::map<std::string, std::int64_t> tokensByAccount;
    // Earlier program versions do not send what follows.
    double arrivalsPerSecond = 0; ///< First attempts of callers, over the last second.
    std::array<int, 2> laterReturns {}; ///< As promisedReturns, in the second after the next, and in the one after it.
    /** Tokens refused lately, by client account, limited like tokensByAccount. */
    std::map<std::string, std::int64_t> refusedByAccount;
    std::map<int, int> waitingByRank; ///< Queued requests, by orderRank(). Only the first, see maxSummaryRanks.

    friend bool operator==(const queue_summary &, const queue_summary &) = default;
};

/** Bounds the size of a summary. */
constexpr std::size_t maxSummaryAccounts = 16;
constexpr std::size_t maxSummaryRanks = 20;

/**
 * @param priority 0 is the most urgent
 * @param overShare whether the account has had its share
 * @returns the rank in the order over all gateways; lower ranks are served first
 */
inline int orderRank(int priority, bool overShare)
{
    return 2 * priority + (overShare ? 1 : 0);
}

/** Adds the summary of another gateway. */
inline queue_summary &operator+=(queue_summary &sum, const queue_summary &other)
{
    sum.waiting += other.waiting;
    sum.waitingTokens += other.waitingTokens;
    sum.longestWaitMs = std::max(sum.longestWaitMs, other.longestWaitMs);
    sum.startsPerSecond += other.startsPerSecond;
    sum.refusalsPerSecond += other.refusalsPerSecond;
    sum.promisedReturns += other.promisedReturns;
    sum.arrivalsPerSecond += other.arrivalsPerSecond;
    for (std::size_t index = 0; index < sum.laterReturns.size(); ++index) {
        sum.laterReturns.at(index) += other.laterReturns.at(index);
    }
    for (const auto &[account, tokens] : other.tokensByAccount) {
        sum.tokensByAccount[account] += tokens;
    }
    for (const auto &[account, tokens] : other.refusedByAccount) {
        sum.refusedByAccount[account] += tokens;
    }
    for (const auto &[rank, waiting] : other.waitingByRank) {
        sum.waitingByRank[rank] += waiting;
    }
    return sum;
}

/** Takes the summary of one gateway out of a sum. The longest wait stays, as the next longest is not known. */
inline queue_summary &operator-=(queue_summary &sum, const queue_summary &part)
{
    const auto take = [](auto &from, auto count) {
        from = std::max<std::remove_reference_t<decltype(from)>>(0, from - count);
    };
    const auto takeWork = [&take](auto &from, const auto &work) {
        for (const auto &[account, tokens] : work) {
            if (const auto found = from.find(account); found != from.end()) {
                take(found->second, tokens);
            }
        }
    };
    take(sum.waiting, part.waiting);
    take(sum.waitingTokens, part.waitingTokens);
    take(sum.startsPerSecond, part.startsPerSecond);
    take(sum.refusalsPerSecond, part.refusalsPerSecond);
    take(sum.promisedReturns, part.promisedReturns);
    take(sum.arrivalsPerSecond, part.arrivalsPerSecond);
    for (std::size_t index = 0; index < sum.laterReturns.size(); ++index) {
        take(sum.laterReturns.at(index), part.laterReturns.at(index));
    }
    takeWork(sum.tokensByAccount, part.tokensByAccount);
    takeWork(sum.refusedByAccount, part.refusedByAccount);
    takeWork(sum.waitingByRank, part.waitingByRank);
    return sum;
}

} // namespace bronzechute
