#include "standins/load_replay.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint64(seed, 1, "seed of the load");
DEFINE_string(pattern, "", "replays only the pattern of this name");

int main(int argc, char **argv)
{
    using namespace bronzechute::standins;
    gflags::SetUsageMessage("load_replay_bench [--seed N] [--pattern NAME]: a gateway's decisions under a load");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::pair<const char *, replay_policy>> policies {
        {"bronzechute", replay_policy::bronzechute},
        {"fifo", replay_policy::fifo},
        {"least_requests", replay_policy::least_requests}};
    std::printf("%-20s %-15s %8s %7s %7s %7s %7s %7s %8s %8s %6s %6s %7s %7s %7s %7s  refusals\n", "pattern", "policy",
                "goodput", "served", "urgent", "account", "large", "offered", "p50 ms", "p99 ms", "back", "again",
                "s.urg", "s.other", "quiet", "jain");
    for (const replay_pattern &pattern : replayPatterns()) {
        if (!FLAGS_pattern.empty() && FLAGS_pattern != pattern.name) {
            continue;
        }
        for (const auto &[name, policy] : policies) {
            const replay_result result = replayLoad(pattern, policy, FLAGS_seed);
            std::printf("%-20s %-15s %8.3f %7.3f %7.3f %7.3f %7.3f %7.1f %8lld %8lld %6d %6d %7.3f %7.3f %7.3f %7.3f ",
                        pattern.name.c_str(), name, result.goodput, result.served, result.inTimeUrgent,
                        result.leastAccount, result.servedLarge, result.offered,
                        static_cast<long long>(result.firstEventMedian.count()),
                        static_cast<long long>(result.firstEventP99.count()), result.cameBack, result.refusedAgain,
                        result.servedUrgent, result.servedOthers, result.unfloodedInTime, result.fairness);
            for (const auto &[reason, count] : result.refusals) {
                std::printf(" %s=%d", reason.c_str(), count);
            }
            std::printf("\n");
        }
    }
    return 0;
}
