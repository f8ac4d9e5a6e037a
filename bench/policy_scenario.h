#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bronzechute::policy_model {

constexpr int endpointCount = 16;
constexpr int entryCount = 4;
constexpr int accountCount = 10;
constexpr int prefixCount = 64;
constexpr double measureFrom = 25; ///< Seconds; before it the policies learn.
constexpr double measureTo = 85;
constexpr double arrivalsEnd = 90;
constexpr double deadlineSeconds = 10;
constexpr double firstArrival = 0.6; ///< By then each entry has heard every endpoint.

/** One course of events. */
struct scenario
{
    std::string name;
    double load = 0.8; ///< Offered load over capacity, without the flood.
    double hotShare = 0; ///< Share of the requests with the same prefix.
    double floodLoad = 0; ///< Load over capacity that the flooding accounts add.
    int floodAccounts = 1; ///< Accounts that flood, from account 0 on, and send nothing else.
    int firstWeight = 1; ///< Of account 0; the others have 1.
    double remoteHop = 0; ///< Seconds one way to the other data centre; 0: there is only one.
    double firstShare = 0.5; ///< Share of the requests that arrive in the first of two data centres.
    bool calls = false; ///< Calls of a plain service, one in ten of them ten times as long as the others.
    double highShare = 0; ///< Share of the requests with a higher priority than the others.
    double slowness = 1; ///< Of endpoint 0, from second 20.
    int restarts = 0; ///< Engines that restart at second 30, from endpoint 0 on; they are away for 10 s.
    int silentCold = 0; ///< Engines that lose their warm state at second 30 without a restart or a sign.
    bool plain = false; ///< No prompt prefixes: every prompt is short.
    int vanish = 0; ///< VMs that fall silent at second 30, from endpoint 0 on, and return cold at second 50.
};

struct arrival
{
    double at = 0;
    int account = 0;
    int weight = 1;
    int priority = 5;
    int prefix = 0;
    int tokens = 0;
    int entry = 0;
};

/** @returns Poisson arrivals, equal for every policy. */
inline std::vector<arrival> makeArrivals(const scenario &course, double capacity, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> arrivals;
    const double base = course.load * capacity;
    const double flood = course.floodLoad * capacity;
    std::exponential_distribution<double> gap(base + flood);
    std::uniform_real_distribution<double> part(0, 1);
    std::geometric_distribution<int> tokens(1.0 / 50);
    for (double at = firstArrival + gap(random); at < arrivalsEnd; at += gap(random)) {
        arrival each;
        each.at = at;
        const bool flooding = part(random) * (base + flood) < flood;
        const auto flooders = static_cast<std::uint64_t>(course.floodAccounts);
        each.account = flooding ? 0 : course.floodAccounts + static_cast<int>(random() % (accountCount - flooders));
        if (flooding && flooders > 1) {
            each.account = static_cast<int>(random() % flooders);
        }
        each.weight = each.account == 0 ? course.firstWeight : 1;
        if (course.highShare > 0 && part(random) < course.highShare) {
            each.priority = 8;
        }
        each.prefix = course.plain || part(random) < course.hotShare ? 0 : static_cast<int>(random() % prefixCount);
        each.tokens = 10 + std::min(140, tokens(random));
        each.entry = static_cast<int>(random() % entryCount);
        if (course.remoteHop > 0) {
            each.entry = each.entry / 2 + (part(random) < course.firstShare ? 0 : entryCount / 2);
        }
        if (course.calls) {
            each.tokens = part(random) < 0.1 ? 200 : 20;
        }
        arrivals.push_back(each);
    }
    return arrivals;
}

} // namespace bronzechute::policy_model
