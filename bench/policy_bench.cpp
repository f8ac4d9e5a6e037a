#include "policy_model.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the first run; further runs use the following numbers");
DEFINE_uint64(seeds, 3, "number of seeds");
DEFINE_double(capacity, 0, "requests a second to take as capacity; 0 measures it");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_bool(variants, false, "compare bronzechute with variants of itself instead of the usual policies");
DEFINE_string(scenario, "", "run only the scenario of this name");

namespace bronzechute::policy_model {
namespace {

std::vector<policy_kind> policies()
{
    return {{.name = "random", .selection = baseline::random},
            {.name = "round_robin", .selection = baseline::round_robin},
            {.name = "least_requests", .selection = baseline::least_requests},
            {.name = "least_adaptive", .selection = baseline::least_requests, .adaptive = true},
            {.name = "bronzechute", .selection = std::nullopt, .adaptive = true}};
}

/** bronzechute with one part changed, to show what the part does. */
std::vector<policy_kind> variants()
{
    std::vector<policy_kind> result;
    const auto add = [&result](const char *name, auto change) {
        policy_kind kind = policies().back();
        kind.name = name;
        change(kind);
        result.push_back(kind);
    };
    add("unchanged", [](auto &) {});
    add("no_affinity", [](auto &kind) { kind.chooser.affinityBound = kind.chooser.affinitySlack = 0; });
    add("own_hash", [](auto &kind) { kind.commonHash = false; });
    add("entries_1", [](auto &kind) { kind.chooser.entries = 1; });
    add("bound_1.0", [](auto &kind) { kind.chooser.affinityBound = 1.0; });
    add("queue_for_prefix", [](auto &kind) { kind.chooser.spareCapacityBelow = 0; });
    add("bound_1.1", [](auto &kind) { kind.chooser.affinityBound = 1.1; });
    add("slack_0.3", [](auto &kind) { kind.chooser.affinitySlack = 0.3; });
    add("bound_1.5", [](auto &kind) { kind.chooser.affinityBound = 1.5; });
    add("samples_2", [](auto &kind) { kind.chooser.samples = 2; });
    add("samples_16", [](auto &kind) { kind.chooser.samples = endpointCount; });
    add("miss_0.05", [](auto &kind) { kind.limiter.missShare = 0.05; });
    add("miss_0.5", [](auto &kind) { kind.limiter.missShare = 0.5; });
    add("proof_one", [](auto &kind) { kind.limiter.confirmationShare = 0; });
    add("proof_one_least", [](auto &kind) {
        kind.limiter.confirmationShare = 0;
        kind.selection = baseline::least_requests;
    });
    add("proof_full", [](auto &kind) { kind.limiter.confirmationShare = 1; });
    return result;
}

std::vector<scenario> scenarios()
{
    return {{.name = "even"},
            {.name = "slow_endpoint", .load = 0.7, .slowness = 4},
            {.name = "hot_prefix_50", .hotShare = 0.5},
            {.name = "hot_prefix_90", .hotShare = 0.9},
            {.name = "overload_150", .load = 1.5},
            {.name = "cold_return", .load = 0.7, .restarts = 1},
            {.name = "third_vanishes", .load = 0.6, .vanish = 5},
            {.name = "silent_cold", .load = 0.7, .silentCold = 1},
            {.name = "plain", .plain = true},
            {.name = "no_flood", .load = 0.5},
            {.name = "flood", .load = 0.5, .floodLoad = 1.5},
            {.name = "priorities", .load = 1.5, .highShare = 0.3},
            {.name = "weights", .load = 0.3, .floodLoad = 1.7, .floodAccounts = 2, .firstWeight = 3},
            {.name = "remote", .remoteHop = 0.015, .firstShare = 0.65},
            {.name = "plain_calls", .load = 0.7, .calls = true, .plain = true}};
}

double percentile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

outcome_counts runOne(const scenario &course, const policy_kind &kind, double capacity, std::uint64_t seed)
{
    return simulation(course, kind, makeArrivals(course, capacity, seed), seed).run();
}

double goodput(const outcome_counts &counts)
{
    return counts.good / (measureTo - measureFrom);
}

/** @returns the highest goodput of any policy under even load, in requests a second. */
double findCapacity(std::uint64_t seed)
{
    double best = 0;
    for (double rate = 100; rate <= 320; rate += 20) {
        for (const policy_kind &kind : policies()) {
            best = std::max(best, goodput(runOne({.name = "even", .load = 1}, kind, rate, seed)));
        }
    }
    return best;
}

nlohmann::json summarize(const scenario &course, const policy_kind &kind, double capacity)
{
    std::vector<double> good;
    outcome_counts sum;
    for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        const outcome_counts each = runOne(course, kind, capacity, seed);
        good.push_back(goodput(each));
        sum.offered += each.offered;
        sum.good += each.good;
        sum.smallOffered += each.smallOffered;
        sum.smallGood += each.smallGood;
        sum.highOffered += each.highOffered;
        sum.highGood += each.highGood;
        sum.firstGood += each.firstGood;
        sum.secondGood += each.secondGood;
        sum.retries += each.retries;
        sum.fallen += each.fallen;
        if (sum.coldBearable == 0 || each.coldLoad * sum.coldBearable > sum.coldLoad * each.coldBearable) {
            sum.coldLoad = each.coldLoad;
            sum.coldBearable = each.coldBearable;
        }
        sum.paces.insert(sum.paces.end(), each.paces.begin(), each.paces.end());
        sum.highFirstTokens.insert(sum.highFirstTokens.end(), each.highFirstTokens.begin(), each.highFirstTokens.end());
        sum.firstTokens.insert(sum.firstTokens.end(), each.firstTokens.begin(), each.firstTokens.end());
    }
    const double seconds = (measureTo - measureFrom) * static_cast<double>(FLAGS_seeds);
    return {{"scenario", course.name},
            {"policy", kind.name},
            {"offered_per_s", sum.offered / seconds},
            {"goodput_per_s", sum.good / seconds},
            {"goodput_least_seed", *std::min_element(good.begin(), good.end())},
            {"goodput_of_offered", static_cast<double>(sum.good) / sum.offered},
            {"first_token_p95_ms", percentile(sum.firstTokens, 0.95) * 1000},
            {"first_token_p99_ms", percentile(sum.firstTokens, 0.99) * 1000},
            {"token_p95_ms", percentile(sum.paces, 0.95) * 1000},
            {"small_accounts", static_cast<double>(sum.smallGood) / sum.smallOffered},
            {"high_priority", static_cast<double>(sum.highGood) / std::max(1, sum.highOffered)},
            {"high_priority_first_token_p95_ms", percentile(sum.highFirstTokens, 0.95) * 1000},
            {"first_over_second_account", static_cast<double>(sum.firstGood) / std::max(1, sum.secondGood)},
            {"cold_load", sum.coldLoad},
            {"cold_bearable", sum.coldBearable},
            {"fallen", sum.fallen},
            {"retries_of_offered", static_cast<double>(sum.retries) / sum.offered}};
}

int report()
{
    const double capacity = FLAGS_capacity > 0 ? FLAGS_capacity : findCapacity(FLAGS_seed);
    nlohmann::json all {{"seed", FLAGS_seed}, {"seeds", FLAGS_seeds}, {"capacity_per_s", capacity}};
    if (!FLAGS_json) {
        std::printf("capacity %.1f requests/s; seeds %llu..%llu\n", capacity,
                    static_cast<unsigned long long>(FLAGS_seed),
                    static_cast<unsigned long long>(FLAGS_seed + FLAGS_seeds - 1));
        std::printf("%-15s %-15s %8s %8s %8s %7s %8s %8s %7s %9s %6s %7s %6s %6s %7s %6s\n", "scenario", "policy",
                    "offered", "goodput", "least", "share", "p95 ms", "p99 ms", "small", "cold", "fallen", "retries",
                    "pace95", "high", "high95", "weight");
    }
    for (const scenario &course : scenarios()) {
        if (!FLAGS_scenario.empty() && FLAGS_scenario != course.name) {
            continue;
        }
        for (const policy_kind &kind : FLAGS_variants ? variants() : policies()) {
            const nlohmann::json row = summarize(course, kind, capacity);
            all["rows"].push_back(row);
            if (FLAGS_json) {
                continue;
            }
            const auto number = [&row](const char *key) {
                return row[key].get<double>();
            };
            std::printf("%-15s %-15s %8.1f %8.1f %8.1f %7.3f %8.0f %8.0f %7.3f %4.0f/%-4.0f %6.0f %7.3f %6.0f %6.3f "
                        "%7.0f %6.2f\n",
                        course.name.c_str(), kind.name.c_str(), number("offered_per_s"), number("goodput_per_s"),
                        number("goodput_least_seed"), number("goodput_of_offered"), number("first_token_p95_ms"),
                        number("first_token_p99_ms"), number("small_accounts"), number("cold_load"),
                        number("cold_bearable"), number("fallen"), number("retries_of_offered"), number("token_p95_ms"),
                        number("high_priority"), number("high_priority_first_token_p95_ms"),
                        number("first_over_second_account"));
            std::fflush(stdout);
        }
    }
    if (FLAGS_json) {
        std::cout << all.dump(2) << '\n';
    }
    return 0;
}

} // namespace
} // namespace bronzechute::policy_model

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Compares selection and admission policies on the same arrivals.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return bronzechute::policy_model::report();
}
