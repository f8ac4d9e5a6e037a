#pragma once

#include "observe/metrics.h"

#include <string>

namespace bronzechute {

/** Metrics of a gateway's request path. */
class gateway_metrics
{
public:
    explicit gateway_metrics(metrics_registry &registry)
        : m_registry(registry)
        , firstByte(registry.histogram("bronzechute_gateway_first_byte_seconds", "",
                                       "Time from a request's arrival to the first byte of its answer."))
        , total(registry.histogram("bronzechute_gateway_request_seconds", "", "Time to the end of the answer."))
        , wait(registry.histogram("bronzechute_gateway_wait_seconds", "", "Time in line before the first endpoint."))
        , retries(registry.counter("bronzechute_gateway_repeats_total", "", "Requests sent to a further endpoint."))
        , endpointCrashes(registry.counter("bronzechute_gateway_endpoint_crashes_total", "",
                                           "Endpoints that crashed under requests of this gateway."))
        , quarantines(registry.counter("bronzechute_gateway_quarantines_total", "",
                                       "Prompt parts whose requests are refused because they crash endpoints."))
    {
    }

    /** @param outcome value of "outcome" in the log line of the request */
    void countOutcome(const std::string &outcome)
    {
        m_registry.counter("bronzechute_gateway_requests_total", "outcome=\"" + outcome + "\"", "Requests by outcome.")
            .add();
    }

    /**
     * @param end value of "end" in the log line of the attempt
     * @param begun whether the endpoint had sent an event of its answer
     */
    void countFailedAttempt(const std::string &end, bool begun)
    {
        m_registry
            .counter("bronzechute_gateway_failed_attempts_total",
                     "end=\"" + end + "\",begun=\"" + (begun ? "yes" : "no") + "\"",
                     "Attempts that ended without an answer.")
            .add();
    }

private:
    metrics_registry &m_registry;

public:
    metric_histogram &firstByte;
    metric_histogram &total;
    metric_histogram &wait;
    metric_counter &retries;
    metric_counter &endpointCrashes;
    metric_counter &quarantines;
};

} // namespace bronzechute
