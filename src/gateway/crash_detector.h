#pragma once

#include "gateway/attempt_end.h"
#include "gateway/gateway_endpoint.h"
#include "quarantine/endpoint_crash.h"

#include <utility>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <optional>
#include <set>

namespace bronzechute {

/**
 * Finds out which endpoints crashed, and which requests were at them without an answer. A lost response alone is no
 * crash: it is one if the endpoint then refuses connections, or is listed again with a later start. Used from the
 * thread of the event loop.
 */
class crash_detector
{
public:
    using listener = std::function<void(const endpoint_crash &)>;

    /** @param onCrash called for each confirmed crash, and again when more of its suspects are known */
    crash_detector(boost::asio::io_context &loop, listener onCrash);

    /** An attempt ended before the end of its answer. */
    void onUnanswered(const gateway_endpoint &endpoint, crash_suspect suspect, attempt_end end);

    /** The endpoint refused a connection. */
    void onRefusedConnection(const endpoint_run &run);

    /** The directory lists a later start of the endpoint. */
    void onRestart(const endpoint_run &ended);

    /** Another gateway reported a crash; adds the suspects of this one. */
    void onReported(const endpoint_crash &crash);

private:
    struct unanswered_attempt
    {
        endpoint_run run;
        crash_suspect suspect;
        attempt_end end;
        time_point at;
    };

    void probe(const gateway_endpoint &endpoint);
    std::optional<time_point> lastLoss(const endpoint_run &run) const;
    void confirm(const endpoint_run &run, time_point at);
    void expire(time_point now);

    boost::asio::io_context &m_loop;
    const listener m_onCrash;
    std::deque<unanswered_attempt> m_unanswered; ///< In the order of their ends.
    std::set<endpoint_run> m_probing;
};

/** @returns the identity of the endpoint's current run. */
inline endpoint_run runOf(const endpoint_record &record)
{
    return {record.id, record.startedAtMs};
}

} // namespace bronzechute
