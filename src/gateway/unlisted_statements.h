#pragma once

#include "gateway/gateway_endpoint.h"

#include <cstddef>
#include <deque>

namespace bronzechute {

/**
 * What endpoints said before their entries left the directory. An entry may lapse while its process goes on, and what
 * the process has said holds for the rest of its run. Used by endpoint_table.
 */
class unlisted_statements
{
public:
    /** Keeps what a run of an endpoint has said, if it has said anything and its start is known. */
    void keep(const gateway_endpoint &endpoint, time_point now);

    /** Applies what was kept of the run that the endpoint's record names. */
    void restore(gateway_endpoint &endpoint) const;

    std::size_t size() const
    {
        return m_kept.size();
    }

    static constexpr std::size_t limit = 1024; ///< Runs; the oldest ones are dropped.

private:
    struct kept_statement
    {
        endpoint_record record;
        bool saysLeaving = false;
        time_point pausedUntil {};
    };

    static bool isSameRun(const endpoint_record &left, const endpoint_record &right);

    std::deque<kept_statement> m_kept; ///< In order of keep().
};

} // namespace bronzechute
