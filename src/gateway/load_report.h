#pragma once

#include "balance/queue_summary.h"
#include "base/boot_clock.h"
#include "gateway/group_state.h"
#include "quarantine/crash_evidence.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** Load of a gateway, sent to the other gateways in one datagram. */
struct load_report
{
    std::string node;
    std::uint64_t incarnation = 0; ///< Random id of the sending process.
    std::uint64_t sequence = 0; ///< Increases with each report of an incarnation.
    std::string dataCentre; ///< Data centre of the sender; empty if its version does not send it.
    bool isCoordinator = false; ///< Whether the sender holds the coordinator lease.
    std::vector<std::string> peers; ///< Hosts of the gateways that the sender knows.
    std::map<std::string, int> running; ///< Requests in flight, by endpoint id; idle endpoints are left out.
    std::map<std::string, std::int64_t> tokens; ///< Work of the requests in flight, by endpoint id.
    std::map<std::string, queue_summary> queues; ///< By service.
    std::vector<group_state> groups; ///< States of all rank groups; only sent by the coordinator, at intervals.

    crash_evidence evidence; ///< On crashes and quarantined prompt parts; only sent when it changed, and at intervals.

    int gateways = 0; ///< That the sender knows, itself included; 0 if its version does not know hubs.
    bool wantsReply = false; ///< Whether the receiver should answer with a report of its own.
    std::map<std::string, std::string> hubs; ///< Hosts of the hubs that the sender knows, by data centre.

    friend bool operator==(const load_report &, const load_report &) = default;
};

/** @param now time of the sender, from which the ages of evidence are counted */
std::string encodeLoadReport(const load_report &report, time_point now = boot_clock::now());

/**
 * @param now time of the receiver
 * @returns the report, or nothing if the datagram is not a valid one
 */
std::optional<load_report> decodeLoadReport(std::string_view datagram, time_point now = boot_clock::now());

} // namespace bronzechute
