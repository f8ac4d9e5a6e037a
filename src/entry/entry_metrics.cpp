#include "entry/entry_metrics.h"

namespace bronzechute {

namespace {

metric_counter &outcomeCounter(metrics_registry &registry, request_outcome outcome)
{
    return registry.counter("bronzechute_requests_total", "outcome=\"" + std::string(toString(outcome)) + "\"",
                            "Requests of callers by outcome.");
}

} // namespace

entry_metrics::entry_metrics(metrics_registry &registry)
    : answered(outcomeCounter(registry, request_outcome::answered))
    , notRun(outcomeCounter(registry, request_outcome::not_run))
    , unknown(outcomeCounter(registry, request_outcome::unknown))
    , rejected(registry.counter("bronzechute_rejected_total", "",
                                "Requests answered with an error before an endpoint was selected."))
    , retries(registry.counter("bronzechute_retries_total", "", "Attempts after the first one of a request."))
    , cutStreams(registry.counter("bronzechute_cut_streams_total", "", "Streams that were cut before their end."))
    , continuedStreams(registry.counter("bronzechute_continued_streams_total", "",
                                        "Attempts that continued a broken stream at another endpoint."))
    , firstByte(registry.histogram("bronzechute_first_byte_seconds", "",
                                   "Time from the arrival of a request to the head of its answer."))
    , duration(registry.histogram("bronzechute_duration_seconds", "",
                                  "Time from the arrival of a request to the end of its answer."))
{
}

void entry_metrics::count(request_outcome outcome)
{
    switch (outcome) {
    case request_outcome::answered:
        answered.add();
        break;
    case request_outcome::not_run:
        notRun.add();
        break;
    case request_outcome::unknown:
        unknown.add();
        break;
    }
}

} // namespace bronzechute
