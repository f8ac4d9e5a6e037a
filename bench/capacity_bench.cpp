// Measures the slopes from which bench/capacity_page.py works out docs/CAPACITY.md. Takes under two minutes.
// Usage: capacity_bench [--output FILE]
#include "capacity_configuration.h"
#include "capacity_directory.h"
#include "capacity_links.h"
#include "capacity_requests.h"
#include "capacity_store.h"

#include <gflags/gflags.h>

#include <fstream>

DEFINE_string(output, "capacity_slopes.json", "file for points and fits");
DEFINE_string(machine, "", "machine and its use, for the record");

using namespace bronzechute;

namespace {

std::string loadAverage()
{
    std::ifstream file("/proc/loadavg");
    std::string line;
    std::getline(file, line);
    return line;
}

double heartbeatBytes(bool withStatus)
{
    heartbeat_frame beat;
    beat.sequence = 1'000'000;
    beat.revision = 100'000;
    beat.clockMs = 1'000'000'000;
    if (withStatus) {
        beat.status = bench::capacity_sample::status(4000);
    }
    std::string bytes;
    encodeFrame(beat, bytes);
    return static_cast<double>(bytes.size());
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string loadBefore = loadAverage();
    bench::slope_recorder recorder;
    bench::measureLinks(recorder);
    bench::measureConfiguration(recorder);
    bench::measureDirectory(recorder);
    bench::measureRequests(recorder);
    bench::measureStoreChanges(recorder);
    bench::measureIdleStore(recorder);
    const nlohmann::json report {{"command", "build/bench/capacity_bench"},
                                 {"machine", FLAGS_machine},
                                 {"processors", std::thread::hardware_concurrency()},
                                 {"load_before", loadBefore},
                                 {"load_after", loadAverage()},
                                 {"heartbeat_bytes", heartbeatBytes(false)},
                                 {"heartbeat_with_status_bytes", heartbeatBytes(true)},
                                 {"series", recorder.series()}};
    std::ofstream(FLAGS_output) << report.dump(1) << '\n';
    return 0;
}
