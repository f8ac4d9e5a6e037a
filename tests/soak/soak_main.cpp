#include "soak/soak_run.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_int32(seeds, 1, "how many seeds are played, one after the other");
DEFINE_int32(seconds, 12, "time in which faults begin, of each seed");
DEFINE_string(logs, "", "directory for the logs of seeds with findings; empty: they are not kept");

int main(int argc, char **argv)
{
    using namespace bronzechute::soak;
    gflags::SetUsageMessage("soak [--seed N] [--seeds N] [--seconds N] [--logs DIRECTORY]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    int failed = 0;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + static_cast<std::uint64_t>(FLAGS_seeds); ++seed) {
        const soak_plan plan = planOf(seed, std::chrono::seconds(FLAGS_seconds));
        soak_run run(plan);
        const soak_evidence evidence = run.play();
        const auto findings = findingsOf(evidence);
        std::printf("seed %llu: %zu gateways, %zu faults, %zu calls, %zu runs, %zu statements, %d maps, %zu findings\n",
                    static_cast<unsigned long long>(seed), plan.gateways, plan.faults.size(), evidence.calls.size(),
                    evidence.runs.size(), evidence.sayings.size(), evidence.mapSwitches, findings.size());
        std::fflush(stdout);
        if (findings.empty()) {
            continue;
        }
        ++failed;
        for (const std::string &finding : findings) {
            std::printf("  %s\n", finding.c_str());
        }
        for (const planned_fault &each : plan.faults) {
            std::printf("  fault at %lld ms for %lld ms: %s target %zu variant %d\n",
                        static_cast<long long>(each.at.count()), static_cast<long long>(each.duration.count()),
                        nameOf(each.kind), each.target, each.variant);
        }
        if (!FLAGS_logs.empty()) {
            run.saveLogs(FLAGS_logs + "/seed-" + std::to_string(seed));
        }
        std::fflush(stdout);
    }
    return failed == 0 ? 0 : 1;
}
