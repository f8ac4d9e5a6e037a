#include "standins/even_load_replay.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

DEFINE_int32(seeds, 2, "seeds whose mean is printed");
DEFINE_int32(gateways, 0, "replays only this number of gateways");
DEFINE_int32(age, 0, "replays only this age of the reports, in ms");

namespace {

using namespace bronzechute::standins;

void print(const char *name, even_load_case each)
{
    even_load_result mean;
    const auto seeds = static_cast<std::uint64_t>(FLAGS_seeds);
    const double part = 1.0 / FLAGS_seeds;
    for (each.seed = 1; each.seed <= seeds; ++each.seed) {
        const even_load_result result = replayEvenLoad(each);
        mean.running += part * result.running;
        mean.busiestTokens += part * result.busiestTokens;
        mean.busiestRequests += part * result.busiestRequests;
        mean.busiestWork += part * result.busiestWork;
        mean.firstTokenP50Ms += part * result.firstTokenP50Ms;
        mean.firstTokenP95Ms += part * result.firstTokenP95Ms;
        mean.passMs += part * result.passMs;
        mean.beyondSlots += part * result.beyondSlots;
    }
    std::printf("%8d %4lld %5.2f %-22s %8.2f %7.3f %9.3f %7.3f %7.1f %7.1f %8.2f %8.4f\n", each.gateways,
                static_cast<long long>(each.age.count()), each.load, name, mean.running, mean.busiestWork,
                mean.busiestRequests, mean.busiestTokens, mean.firstTokenP50Ms, mean.firstTokenP95Ms, mean.passMs,
                mean.beyondSlots);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("even_load_bench [--seeds N] [--gateways N] [--age MS]: choices on old knowledge");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::pair<const char *, even_load_rule>> rules {
        {"least_requests", even_load_rule::least_requests},
        {"random_pairs", even_load_rule::random_pairs},
        {"random_room", even_load_rule::random_room},
        {"own_order", even_load_rule::own_order},
        {"told_at_once", even_load_rule::told_at_once},
        {"forecast_by_count", even_load_rule::forecast_by_count},
        {"forecast", even_load_rule::forecast},
        {"forecast_told_at_once", even_load_rule::forecast_told_at_once}};
    std::printf("%8s %4s %5s %-22s %8s %7s %9s %7s %7s %7s %8s %8s\n", "gateways", "age", "load", "rule", "in_flight",
                "work", "requests", "tokens", "p50 ms", "p95 ms", "pass ms", "beyond");
    for (const double load : {0.3, 0.7, 0.95}) {
        print("perfect_knowledge", {1, std::chrono::milliseconds {0}, load, even_load_rule::least_requests});
        for (const int gateways : {4, 20, 60}) {
            for (const int age : {40, 250}) {
                if ((FLAGS_gateways != 0 && FLAGS_gateways != gateways) || (FLAGS_age != 0 && FLAGS_age != age)) {
                    continue;
                }
                for (const auto &[name, rule] : rules) {
                    print(name, {gateways, std::chrono::milliseconds {age}, load, rule});
                }
            }
        }
    }
    return 0;
}
