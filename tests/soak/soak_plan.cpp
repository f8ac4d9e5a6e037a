#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace bronzechute::soak {

namespace {

constexpr std::chrono::milliseconds meanPause {700}; ///< Between the begins of two faults.
constexpr std::chrono::milliseconds shortestFault {200};
constexpr std::chrono::milliseconds longestFault {3500};
constexpr int variants = 4;
constexpr std::size_t mostGateways = 4;

} // namespace

const char *nameOf(fault kind)
{
    static constexpr std::array<const char *, static_cast<std::size_t>(fault::count)> names {"kill_gateway",
                                                                                             "stop_gateway",
                                                                                             "freeze_gateway",
                                                                                             "reload_gateway",
                                                                                             "cut_store_link",
                                                                                             "store_outage",
                                                                                             "store_slow",
                                                                                             "store_lost_answers",
                                                                                             "store_drops_history",
                                                                                             "store_returns_from_copy",
                                                                                             "kill_endpoint",
                                                                                             "freeze_endpoint",
                                                                                             "drain_endpoint",
                                                                                             "cut_endpoint_link",
                                                                                             "delay_endpoint_link",
                                                                                             "bad_answers",
                                                                                             "late_orders",
                                                                                             "burst",
                                                                                             "break_group",
                                                                                             "change_configuration",
                                                                                             "evacuate",
                                                                                             "unreadable_entry",
                                                                                             "endpoint_pauses",
                                                                                             "endpoint_lies"};
    return names.at(static_cast<std::size_t>(kind));
}

soak_plan planOf(std::uint64_t seed, std::chrono::milliseconds length)
{
    std::mt19937_64 random(seed);
    const auto draw = [&random](std::int64_t low, std::int64_t high) {
        return low + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(high - low + 1));
    };
    soak_plan plan;
    plan.seed = seed;
    plan.length = length;
    plan.gateways = static_cast<std::size_t>(draw(2, mostGateways));
    std::chrono::milliseconds at {0};
    while ((at += std::chrono::milliseconds(draw(0, 2 * meanPause.count()))) < length) {
        planned_fault next;
        next.at = at;
        next.duration = std::chrono::milliseconds(draw(shortestFault.count(), longestFault.count()));
        next.kind = static_cast<fault>(draw(0, static_cast<std::int64_t>(fault::count) - 1));
        next.target = static_cast<std::size_t>(draw(0, mostGateways * static_cast<std::int64_t>(plan.endpoints) - 1));
        next.variant = static_cast<int>(draw(0, variants - 1));
        plan.faults.push_back(next);
    }
    return plan;
}

} // namespace bronzechute::soak
