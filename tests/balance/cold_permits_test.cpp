#include "balance/cold_permits.h"
#include "balance/token_bucket.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261206;
const time_point start {1h};

/** One gateway of the simulation, which sends to one cold endpoint whenever it may. */
struct simulated_gateway
{
    std::string host;
    /** Time of the simulation from which it runs, and until which. */
    std::chrono::milliseconds from {0};
    std::chrono::milliseconds until {1h};
    std::chrono::milliseconds frozenFrom {1h};
    std::chrono::milliseconds frozenUntil {1h};
    /** The hosts that it knows, and the highest number of them, at a time. */
    std::function<gateway_fleet(std::chrono::milliseconds)> view;
};

std::string hostOf(int index)
{
    return "10." + std::to_string(index / 250) + ".0." + std::to_string(index % 250 + 1);
}

std::vector<std::string> hosts(int from, int until)
{
    std::vector<std::string> all;
    for (int index = from; index < until; ++index) {
        all.push_back(hostOf(index));
    }
    return all;
}

struct simulation_result
{
    int mostInASecond = 0;
    double meanPerSecond = 0; ///< In the last 10 s of the simulation.
};

using rule = std::function<std::optional<rate_share>(const gateway_fleet &, const std::string &)>;

/** Runs gateways that always have a request for the endpoint. */
simulation_result simulate(const std::vector<simulated_gateway> &gateways, const std::string &endpoint,
                           const rule &share)
{
    constexpr std::chrono::milliseconds length {20000};
    constexpr std::chrono::milliseconds step {10};
    constexpr std::chrono::milliseconds viewStep {500};
    constexpr std::chrono::milliseconds measuredFrom {10000};
    std::vector<token_bucket> buckets(gateways.size());
    std::vector<bool> allowed(gateways.size());
    std::vector<gateway_fleet> views(gateways.size(), gateway_fleet {"none", {}, 0, false});
    std::deque<std::chrono::milliseconds> sent;
    simulation_result outcome;
    int measured = 0;
    for (std::chrono::milliseconds now {0}; now < length; now += step) {
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            const simulated_gateway &gateway = gateways[index];
            const bool frozen = now >= gateway.frozenFrom && now < gateway.frozenUntil;
            if (now < gateway.from || now >= gateway.until || frozen) {
                continue;
            }
            if (now % viewStep == 0ms || now == gateway.from) {
                gateway_fleet view = gateway.view(now);
                if (view != views[index]) {
                    views[index] = std::move(view);
                    const auto own = share(views[index], endpoint);
                    allowed[index] = own.has_value();
                    if (own) {
                        buckets[index].configure(own->perSecond, own->burst);
                    }
                }
            }
            while (allowed[index] && buckets[index].available(start + now)) {
                buckets[index].take(start + now);
                sent.push_back(now);
                measured += now >= measuredFrom ? 1 : 0;
            }
        }
        while (!sent.empty() && now - sent.front() >= 1s) {
            sent.pop_front();
        }
        outcome.mostInASecond = std::max(outcome.mostInASecond, static_cast<int>(sent.size()));
    }
    outcome.meanPerSecond = measured / std::chrono::duration<double>(length - measuredFrom).count();
    return outcome;
}

using fleet_builder = std::vector<simulated_gateway> (*)(int, std::mt19937_64 &);

simulated_gateway knowing(int index, std::vector<std::string> known, int highest)
{
    simulated_gateway gateway;
    gateway.host = hostOf(index);
    gateway.view = [fleet = gateway_fleet {gateway.host, std::move(known), highest, true}](auto) {
        return fleet;
    };
    return gateway;
}

std::vector<simulated_gateway> allKnowAll(int count, std::mt19937_64 &)
{
    std::vector<simulated_gateway> fleet;
    fleet.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        fleet.push_back(knowing(index, hosts(0, count), count));
    }
    return fleet;
}

/** The sets have not heard of each other for so long that they know only themselves. */
std::vector<simulated_gateway> disjointSets(int count, int sets)
{
    std::vector<simulated_gateway> fleet;
    fleet.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        const int set = index * sets / count;
        fleet.push_back(
            knowing(index, hosts((set * count + sets - 1) / sets, ((set + 1) * count + sets - 1) / sets), count));
    }
    return fleet;
}

std::vector<simulated_gateway> halves(int count, std::mt19937_64 &)
{
    return disjointSets(count, 2);
}

std::vector<simulated_gateway> thirds(int count, std::mt19937_64 &)
{
    return disjointSets(count, 3);
}

/** Each gateway has not heard of a fifth of the others. */
std::vector<simulated_gateway> randomViews(int count, std::mt19937_64 &random)
{
    std::vector<simulated_gateway> fleet;
    fleet.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        std::vector<std::string> known;
        for (int other = 0; other < count; ++other) {
            if (other == index || random() % 5 != 0) {
                known.push_back(hostOf(other));
            }
        }
        const int highest = static_cast<int>(known.size());
        fleet.push_back(knowing(index, std::move(known), highest));
    }
    return fleet;
}

/** A third as many start at 12 s; they know all after 3 s, and the others learn of each at a time of their own. */
std::vector<simulated_gateway> newcomers(int count, std::mt19937_64 &random)
{
    const int more = (count + 2) / 3;
    std::vector<simulated_gateway> fleet;
    fleet.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count + more; ++index) {
        std::vector<std::pair<std::chrono::milliseconds, std::string>> learns;
        for (int other = count; other < count + more; ++other) {
            learns.emplace_back(12000ms + std::chrono::milliseconds(random() % 4000), hostOf(other));
        }
        simulated_gateway gateway;
        gateway.host = hostOf(index);
        const bool isNew = index >= count;
        gateway.from = isNew ? 12s : 0s;
        gateway.view = [=, known = hosts(0, count)](std::chrono::milliseconds now) {
            gateway_fleet view {hostOf(index), known, 0, !isNew || now >= 15s};
            for (const auto &[at, host] : learns) {
                if (now >= at || host == view.self) {
                    view.members.push_back(host);
                }
            }
            view.highestCount = static_cast<int>(view.members.size());
            return view;
        };
        fleet.push_back(std::move(gateway));
    }
    return fleet;
}

/** They have just started and know nobody. */
std::vector<simulated_gateway> undiscovered(int count, std::mt19937_64 &)
{
    std::vector<simulated_gateway> fleet;
    fleet.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        simulated_gateway gateway = knowing(index, hosts(index, index + 1), 1);
        gateway.view = [index](auto) {
            return gateway_fleet {hostOf(index), {hostOf(index)}, 1, false};
        };
        fleet.push_back(std::move(gateway));
    }
    return fleet;
}

/** A third is killed at 1 s. The others forget each of them at a time of their own. */
std::vector<simulated_gateway> killed(int count, std::mt19937_64 &random)
{
    const int gone = count / 3;
    std::vector<simulated_gateway> fleet;
    fleet.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        std::vector<std::chrono::milliseconds> forgets;
        forgets.reserve(static_cast<std::size_t>(gone));
        for (int other = 0; other < gone; ++other) {
            forgets.push_back(4000ms + std::chrono::milliseconds(random() % 4000));
        }
        simulated_gateway gateway;
        gateway.host = hostOf(index);
        gateway.until = index < gone ? std::chrono::milliseconds(1000) : std::chrono::milliseconds(1h);
        gateway.view = [=](std::chrono::milliseconds now) {
            gateway_fleet view {hostOf(index), hosts(gone, count), count, true};
            for (int other = 0; other < gone; ++other) {
                if (now < forgets[static_cast<std::size_t>(other)]) {
                    view.members.push_back(hostOf(other));
                }
            }
            return view;
        };
        fleet.push_back(std::move(gateway));
    }
    return fleet;
}

/** A third is frozen from 1 s to 12 s. The others forget them, and they wake up with what they knew. */
std::vector<simulated_gateway> frozen(int count, std::mt19937_64 &random)
{
    std::vector<simulated_gateway> fleet = killed(count, random);
    const int stopped = count / 3;
    for (int index = 0; index < count; ++index) {
        simulated_gateway &gateway = fleet[static_cast<std::size_t>(index)];
        gateway.until = 1h;
        const std::chrono::milliseconds knowsAgain = 12000ms + std::chrono::milliseconds(random() % 1000);
        if (index < stopped) {
            gateway.frozenFrom = 1s;
            gateway.frozenUntil = 12s;
            gateway.view = [=](auto) {
                return gateway_fleet {hostOf(index), hosts(0, count), count, true};
            };
        } else {
            gateway.view = [=, before = gateway.view](std::chrono::milliseconds now) {
                return now < knowsAgain ? before(now) : gateway_fleet {hostOf(index), hosts(0, count), count, true};
            };
        }
    }
    return fleet;
}

/** Frozen for so long that all others count as gone when it wakes up: each of a third believes to be alone. */
std::vector<simulated_gateway> wokenAlone(int count, std::mt19937_64 &random)
{
    std::vector<simulated_gateway> fleet = frozen(count, random);
    for (int index = 0; index < count / 3; ++index) {
        fleet[static_cast<std::size_t>(index)].view = [=](std::chrono::milliseconds now) {
            const bool alone = now >= 12s && now < 13s;
            return gateway_fleet {hostOf(index), alone ? hosts(index, index + 1) : hosts(0, count), count, true};
        };
    }
    return fleet;
}

struct permit_row
{
    const char *name; ///< Failure that the row guards against.
    int gateways;
    double perSecond;
    fleet_builder build;
    bool oldExceeds; ///< Whether the rate divided by the number of gateways exceeds the bound.
    double minShare; ///< Of the rate that must be usable, on average over the endpoints.
};

class cold_rate : public testing::TestWithParam<permit_row>
{
};

/** Fewer for large fleets, as the time for a simulation grows with the square of their size. */
int endpointsFor(int gateways)
{
    constexpr int large = 100;
    return gateways < large ? 12 : 4;
}

std::string endpointOf(int index)
{
    return "i-" + std::to_string(index * 7919);
}

TEST_P(cold_rate, holdsOverAllGateways)
{
    const permit_row &row = GetParam();
    std::mt19937_64 random(seed);
    const double bound = 1.5 * row.perSecond + 5;
    const rule permits = [&](const gateway_fleet &fleet, const std::string &endpoint) {
        return coldPermit(fleet, endpoint, row.perSecond);
    };
    const rule divided = [&](const gateway_fleet &fleet, const std::string &) {
        const int count = std::max(fleet.highestCount, fleet.discovered ? 1 : 4);
        return std::optional(warmShare(count, row.perSecond));
    };
    int most = 0;
    int oldMost = 0;
    double mean = 0;
    const int endpoints = endpointsFor(row.gateways);
    for (int index = 0; index < endpoints; ++index) {
        const auto fleet = row.build(row.gateways, random);
        const simulation_result result = simulate(fleet, endpointOf(index), permits);
        most = std::max(most, result.mostInASecond);
        mean += result.meanPerSecond / endpoints;
        if (index == 0) {
            oldMost = simulate(fleet, endpointOf(index), divided).mostInASecond;
        }
    }
    std::cout << row.name << ": bound " << bound << ", permits " << most << ", divided " << oldMost
              << ", usable share of the rate " << mean / row.perSecond << ", seed " << seed << '\n';
    EXPECT_LE(most, bound);
    EXPECT_EQ(oldMost > bound, row.oldExceeds) << oldMost;
    EXPECT_GE(mean, row.minShare * row.perSecond);
}

constexpr double two = 2.0 / 3;

INSTANTIATE_TEST_SUITE_P(
    rows, cold_rate,
    testing::Values(permit_row {"few_gateways_lose_their_rate", 4, 14, allKnowAll, false, two},
                    permit_row {"a_lone_gateway_loses_its_rate", 1, 14, allKnowAll, false, two},
                    permit_row {"clubs_send_one_request_each_at_once", 44, 14, allKnowAll, true, two},
                    permit_row {"sixty_send_one_request_each_at_once", 60, 14, allKnowAll, true, two},
                    permit_row {"380_send_one_request_each_at_once", 380, 14, allKnowAll, true, two},
                    permit_row {"a_higher_rate_fails_as_well", 380, 36, allKnowAll, true, two},
                    permit_row {"a_rate_below_one_each_is_lost", 380, 2, allKnowAll, true, 0.65},
                    permit_row {"four_in_halves", 4, 14, halves, false, two},
                    permit_row {"sixty_in_halves", 60, 14, halves, true, two},
                    permit_row {"380_in_halves", 380, 14, halves, true, two},
                    permit_row {"380_in_halves_at_a_higher_rate", 380, 36, halves, true, two},
                    permit_row {"four_in_thirds", 4, 14, thirds, false, 0.6},
                    permit_row {"sixty_in_thirds", 60, 14, thirds, true, two},
                    permit_row {"380_in_thirds", 380, 14, thirds, true, two},
                    permit_row {"380_in_thirds_at_a_higher_rate", 380, 36, thirds, true, two},
                    permit_row {"sixty_that_know_different_others", 60, 14, randomViews, true, two},
                    permit_row {"380_that_know_different_others", 380, 14, randomViews, true, two},
                    permit_row {"four_and_newcomers", 4, 14, newcomers, false, 0.6},
                    permit_row {"sixty_and_newcomers", 60, 14, newcomers, true, 0.6},
                    permit_row {"380_and_newcomers", 380, 14, newcomers, true, 0.6},
                    permit_row {"sixty_that_have_just_started", 60, 14, undiscovered, true, 0},
                    permit_row {"sixty_of_which_a_third_is_killed", 60, 14, killed, true, two},
                    permit_row {"380_of_which_a_third_is_killed", 380, 14, killed, true, two},
                    permit_row {"sixty_of_which_a_third_is_frozen", 60, 14, frozen, true, two},
                    permit_row {"380_of_which_a_third_is_frozen", 380, 14, frozen, true, two},
                    permit_row {"sixty_of_which_a_third_wakes_alone", 60, 14, wokenAlone, true, two},
                    permit_row {"380_of_which_a_third_wakes_alone", 380, 14, wokenAlone, true, two},
                    permit_row {"a_third_of_four_wakes_alone", 4, 14, wokenAlone, false, two}),
    [](const auto &row) { return std::string(row.param.name); });

// A rank of each gateway that depends on the order in which it heard of the others would select too many holders.
TEST(gateway_rank, isTheSameForAllThatKnowTheSame)
{
    gateway_fleet fleet {"", hosts(0, 60), 60, true};
    gateway_fleet reversed = fleet;
    std::ranges::reverse(reversed.members);
    std::vector<std::size_t> ranks;
    for (const std::string &host : fleet.members) {
        fleet.self = host;
        reversed.self = host;
        ranks.push_back(gatewayRank(fleet, "endpoint"));
        EXPECT_EQ(gatewayRank(reversed, "endpoint"), ranks.back());
    }
    std::ranges::sort(ranks);
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        EXPECT_EQ(ranks[rank], rank);
    }
}

struct retry_row
{
    const char *name; ///< Failure that the row guards against.
    int gateways;
    double fixed; ///< Retries allowed without any request, of all gateways.
    double perGateway; ///< Retries allowed by the requests of each gateway.
};

class retry_permits : public testing::TestWithParam<retry_row>
{
};

// A budget of 10 retries divided by 44 gateways is 0 retries for each of them if every gateway rounds it down.
TEST_P(retry_permits, addUpToTheBudget)
{
    const retry_row &row = GetParam();
    gateway_fleet fleet {"", hosts(0, row.gateways), row.gateways, true};
    double sum = 0;
    double oldSum = 0;
    for (const std::string &host : fleet.members) {
        fleet.self = host;
        sum += std::floor(row.perGateway + wholePermitShare(fleet, "service", row.fixed) + 1e-9);
        oldSum += std::floor(row.perGateway + row.fixed / row.gateways + 1e-9);
    }
    const double budget = row.fixed + row.perGateway * row.gateways;
    std::cout << row.name << ": budget " << budget << ", usable " << sum << ", divided " << oldSum << '\n';
    EXPECT_LE(sum, budget + 1e-6);
    EXPECT_GT(sum, budget - 1);
}

INSTANTIATE_TEST_SUITE_P(rows, retry_permits,
                         testing::Values(retry_row {"four_lose_the_remainder", 4, 10, 0},
                                         retry_row {"sixty_lose_the_fixed_part", 60, 10, 0},
                                         retry_row {"380_lose_the_fixed_part", 380, 10, 0},
                                         retry_row {"380_lose_the_part_of_few_requests", 380, 10, 0.6},
                                         retry_row {"a_lone_gateway_gets_more", 1, 10, 0.5}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(cut_gateways, doNotExceedTheRetryBudgetInSum)
{
    double sum = 0;
    for (const int half : {0, 30}) {
        gateway_fleet fleet {"", hosts(half, half + 30), 60, true};
        for (const std::string &host : fleet.members) {
            fleet.self = host;
            sum += std::floor(wholePermitShare(fleet, "service", 10) + 1e-9);
        }
    }
    EXPECT_LE(sum, 10);
    EXPECT_GE(sum, 2 * 10.0 / 3);
}

} // namespace

} // namespace bronzechute
