#include "standins/model_engine.h"
#include "standins/run_standin.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_int32(port, 0, "TCP port on the loopback address; 0: the kernel chooses");
DEFINE_string(model, "iroda-nyelv", "name of the model");
DEFINE_double(step_ms, 20, "time of a step with one sequence, in ms");
DEFINE_double(step_growth_us, 100, "time that each further sequence adds to a step, in µs");
DEFINE_double(prefill_us, 50, "time for each prompt token that is not cached, in µs");
DEFINE_int32(max_batch, 512, "largest batch; further requests wait");
DEFINE_int32(cache_blocks, 4096, "capacity of the prefix cache in blocks of 64 bytes");
DEFINE_int32(metrics_lag_ms, 500, "age of the load on the metrics page, in ms");
DEFINE_int32(cold_requests, 0, "cold after start until so many requests are complete");
DEFINE_double(cold_factor, 4, "factor on the step time while cold");
DEFINE_int32(cold_limit, 4, "a larger batch while cold makes the engine fall over");
DEFINE_int32(fall_over_ms, 3000, "time for which an engine that fell over answers nothing, in ms");

int main(int argc, char **argv)
{
    using namespace bronzechute::standins;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    blockEndSignals();
    model_engine_options options;
    options.port = static_cast<std::uint16_t>(FLAGS_port);
    options.model = FLAGS_model;
    const auto microseconds = [](double count) {
        return std::chrono::microseconds(static_cast<std::int64_t>(count));
    };
    constexpr double microsecondsPerMillisecond = 1000;
    options.step = microseconds(FLAGS_step_ms * microsecondsPerMillisecond);
    options.stepGrowth = microseconds(FLAGS_step_growth_us);
    options.prefillPerToken = microseconds(FLAGS_prefill_us);
    options.maximumBatch = static_cast<std::size_t>(FLAGS_max_batch);
    options.cacheBlocks = static_cast<std::size_t>(FLAGS_cache_blocks);
    options.metricsLag = std::chrono::milliseconds(FLAGS_metrics_lag_ms);
    options.coldRequests = FLAGS_cold_requests;
    options.coldFactor = FLAGS_cold_factor;
    options.coldLimit = static_cast<std::size_t>(FLAGS_cold_limit);
    options.fallOver = std::chrono::milliseconds(FLAGS_fall_over_ms);
    auto engine = model_engine::start(options);
    if (!engine) {
        std::fprintf(stderr, "model_engine: %s\n", engine.error().toString().c_str());
        return 1;
    }
    runUntilEnded("http=127.0.0.1:" + std::to_string(engine.value()->port()));
    return 0;
}
