#pragma once

#include "balance/waiting_request.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Queue of one service at a gateway, ordered by priority. Within a priority, requests that can still meet their latency
 * target come first, earliest deadline first. The others are late in any case: retries come before first attempts,
 * whose callers can still retry, each in order of arrival. A caller that came back and has found its place is in the
 * order of the first ones, with the deadline of its place, after which it stays there.
 *
 * Requests of accounts that have had their share come last within a priority. A priority whose turn it is comes before
 * the more urgent ones.
 *
 * All operations scan the queue linearly: it is short, because admission bounds it by the expected wait.
 */
class wait_queue
{
public:
    void push(waiting_request request);

    void setAccountsOverShare(std::set<std::string> accounts);

    /**
     * Removes and returns the request to dispatch next; nothing when the queue is empty.
     * @param due priorities whose turn it is
     */
    std::optional<waiting_request> pop(time_point now, const std::set<int> &due = {});

    /** Removes and returns the requests that have expired. */
    std::vector<waiting_request> takeExpired(time_point now);

    /** Removes a request. @returns whether it was queued. */
    bool erase(std::uint64_t ticket);

    /** @returns how many queued requests would be dispatched before this one. */
    std::size_t countAhead(const waiting_request &request, time_point now, const std::set<int> &due = {}) const;

    /** @returns how many of those have found their place, and are as urgent or more. */
    std::size_t countPlacesAhead(const waiting_request &request, time_point now) const;

    /** @returns the queued requests by orderRank(). */
    std::map<int, int> countByRank() const;

    /** @returns the orderRank() of a request. */
    int rankOf(const waiting_request &request) const;

    /** @returns the queued requests of a priority. */
    std::size_t countOf(int priority) const;

    /** @returns the tokens that the queued requests ask for. */
    std::int64_t tokens() const;

    /** @returns the arrival of the request that is queued longest; nothing when the queue is empty. */
    std::optional<time_point> oldestArrival() const;

    /** @returns the earliest expiry of a queued request; nothing when the queue is empty. */
    std::optional<time_point> nextExpiry() const;

    std::size_t size() const
    {
        return m_waiting.size();
    }

    bool empty() const
    {
        return m_waiting.empty();
    }

private:
    bool isBefore(const waiting_request &left, const waiting_request &right, time_point now,
                  const std::set<int> &due) const;

    std::vector<waiting_request> m_waiting;
    std::set<std::string> m_accountsOverShare;
};

/** @returns whether the left request is dispatched before the right one, of the same account. */
bool isServedBefore(const waiting_request &left, const waiting_request &right, time_point now);

} // namespace bronzechute
