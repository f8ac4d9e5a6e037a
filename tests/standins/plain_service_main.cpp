#include "standins/plain_service.h"
#include "standins/run_standin.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_int32(port, 0, "TCP port on the loopback address; 0: the kernel chooses");
DEFINE_double(work_ms, 0, "time of one request, in ms");
DEFINE_double(cold_work_ms, 20, "time added to a request while cold, in ms");
DEFINE_int32(cold_requests, 0, "cold after start until so many requests are complete");
DEFINE_uint32(padding_bytes, 0, "bytes added to the answer of a booking");
DEFINE_string(outcome, "", "value of X-Bronzechute-Outcome in the answer of a booking; empty: none");

int main(int argc, char **argv)
{
    using namespace bronzechute::standins;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockEndSignals();
    plain_service_options options;
    options.port = static_cast<std::uint16_t>(FLAGS_port);
    constexpr double microsecondsPerMillisecond = 1000;
    options.work = std::chrono::microseconds(static_cast<std::int64_t>(FLAGS_work_ms * microsecondsPerMillisecond));
    options.coldWork = std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_cold_work_ms));
    options.coldRequests = FLAGS_cold_requests;
    options.paddingBytes = FLAGS_padding_bytes;
    options.outcome = FLAGS_outcome;
    auto service = plain_service::start(options);
    if (!service) {
        std::fprintf(stderr, "plain_service: %s\n", service.error().toString().c_str());
        return 1;
    }
    runUntilEnded("http=127.0.0.1:" + std::to_string(service.value()->port()));
    return 0;
}
