#pragma once

#include "balance/waiting_request.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bronzechute {

/**
 * Queue of one service at a gateway, ordered by priority. Within a priority, requests that can still meet their latency
 * target come first, earliest deadline first. The others are late in any case: retries come before first attempts,
 * whose callers can still retry, each in order of arrival.
 *
 * While requests of a higher priority take all capacity, one dispatch in a few goes to the lower priorities, in order
 * of arrival. Otherwise they would be starved for as long as the overload lasts.
 *
 * All operations scan the queue linearly: it is short, because admission bounds it by the expected wait.
 */
class wait_queue
{
public:
    void push(waiting_request request);

    /** Removes and returns the request to dispatch next; nothing when the queue is empty. */
    std::optional<waiting_request> pop(time_point now);

    /** Returns the request that pop() returned last and that could not be dispatched. */
    void putBack(waiting_request request);

    /** Removes and returns the requests that have expired. */
    std::vector<waiting_request> takeExpired(time_point now);

    /** Removes a request. @returns whether it was queued. */
    bool erase(std::uint64_t ticket);

    /** @returns how many queued requests would be dispatched before this one. */
    std::size_t countAhead(const waiting_request &request, time_point now) const;

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
    std::vector<waiting_request> m_waiting;
    int m_passedOver = 0; ///< Consecutive dispatches ahead of a request with a lower priority.
    int m_passedOverBefore = 0; ///< m_passedOver before the last pop().
};

/** @returns whether the left request is dispatched before the right one. */
bool isServedBefore(const waiting_request &left, const waiting_request &right, time_point now);

} // namespace bronzechute
