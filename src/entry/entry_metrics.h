#pragma once

#include "observe/metrics.h"
#include "request/request_outcome.h"

#include <array>

namespace bronzechute {

/** Request metrics of an entry. */
struct entry_metrics
{
    explicit entry_metrics(metrics_registry &registry);

    metric_counter &answered;
    metric_counter &notRun;
    metric_counter &unknown;
    metric_counter &rejected; ///< Requests that failed before an endpoint was selected.
    metric_counter &retries;
    metric_counter &cutStreams;
    metric_counter &continuedStreams;
    metric_histogram &firstByte;
    metric_histogram &duration;

    void count(request_outcome outcome);
};

} // namespace bronzechute
