#pragma once

#include "balance/waiting_request.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bronzechute {

/**
 * Requests of one service that wait at a gateway. Served by priority; within one, those that can still be answered in
 * time first, most urgent first. The others are late in any case: callers that have come back go before those that
 * still can, each in order of arrival.
 *
 * A line is short, as admission bounds it by the expected wait, so it is searched linearly.
 */
class waiting_line
{
public:
    void push(waiting_request request);

    /** Removes the request to serve next. */
    std::optional<waiting_request> pop(time_point now);

    /** Removes the requests whose latest useful start has passed. */
    std::vector<waiting_request> takeExpired(time_point now);

    /** @returns whether the request waited here. */
    bool erase(std::uint64_t ticket);

    /** @returns how many requests would be served before this one. */
    std::size_t countAhead(const waiting_request &request, time_point now) const;

    /** @returns the earliest latest useful start. */
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
};

/** @returns whether the left request is served before the right one. */
bool servedBefore(const waiting_request &left, const waiting_request &right, time_point now);

} // namespace bronzechute
