#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

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

    friend bool operator==(const queue_summary &, const queue_summary &) = default;
};

/** Bounds the size of a summary. */
constexpr std::size_t maxSummaryAccounts = 16;

/** Adds the summary of another gateway. */
inline queue_summary &operator+=(queue_summary &sum, const queue_summary &other)
{
    sum.waiting += other.waiting;
    sum.waitingTokens += other.waitingTokens;
    sum.longestWaitMs = std::max(sum.longestWaitMs, other.longestWaitMs);
    sum.startsPerSecond += other.startsPerSecond;
    sum.refusalsPerSecond += other.refusalsPerSecond;
    sum.promisedReturns += other.promisedReturns;
    for (const auto &[account, tokens] : other.tokensByAccount) {
        sum.tokensByAccount[account] += tokens;
    }
    return sum;
}

} // namespace bronzechute
