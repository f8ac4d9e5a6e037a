#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzechute::soak {

/** What a soak does to the processes of a site, their connections and the store. */
enum class fault {
    kill_gateway,
    stop_gateway, ///< SIGTERM, then another start.
    freeze_gateway,
    reload_gateway, ///< The settings file changes, with SIGHUP or without.
    cut_store_link, ///< Of one gateway: silent, refused, or cut in one direction.
    store_outage,
    store_slow,
    store_lost_answers,
    store_drops_history,
    store_returns_from_copy, ///< It loses what was written during the fault.
    kill_endpoint,
    freeze_endpoint,
    drain_endpoint,
    cut_endpoint_link, ///< In one direction, silent or reset.
    delay_endpoint_link,
    bad_answers, ///< Lost, cut, garbled or failed.
    late_orders, ///< Orders of the group's engines are carried out later, without an answer.
    burst, ///< Callers that send without a pause.
    break_group,
    change_configuration,
    evacuate,
    unreadable_entry,
    endpoint_pauses, ///< One endpoint, or one rank of the group, refuses for the whole time and says so.
    endpoint_lies, ///< It says that it leaves, asks for an hour, or both, and starts again at the end.
    count, ///< Number of kinds.
};

/** @returns the fault's name in reports. */
const char *nameOf(fault kind);

/** A fault that begins and ends. */
struct planned_fault
{
    std::chrono::milliseconds at {0}; ///< After the start of the faults.
    std::chrono::milliseconds duration {0};
    fault kind = fault::kill_gateway;
    std::size_t target = 0; ///< Index among the processes of its kind.
    int variant = 0; ///< Selects among the forms of a fault.

    friend bool operator==(const planned_fault &, const planned_fault &) = default;
};

/** Everything that a seed decides. */
struct soak_plan
{
    std::uint64_t seed = 0;
    std::size_t gateways = 3;
    std::size_t endpoints = 3; ///< Of the plain service.
    std::chrono::milliseconds length {0}; ///< Time in which faults begin.
    std::vector<planned_fault> faults; ///< In order of their begin.

    friend bool operator==(const soak_plan &, const soak_plan &) = default;
};

/** @returns the plan of a seed: the same one each time. */
soak_plan planOf(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace bronzechute::soak
