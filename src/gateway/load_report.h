#pragma once

#include "gateway/group_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** What a gateway tells the others about its work, in one datagram. */
struct load_report
{
    std::string node;
    std::uint64_t incarnation = 0; ///< Of the sending process.
    std::uint64_t sequence = 0; ///< Rises with each report of an incarnation.
    std::string dataCentre; ///< Of the sender; empty from processes that do not tell it.
    bool coordinates = false; ///< Whether the sender holds the lease of the coordinator of expert maps.
    std::vector<std::string> peers; ///< Hosts of the gateways that the sender knows.
    std::map<std::string, int> running; ///< Requests under way, by endpoint id; endpoints without any are left out.
    std::vector<group_state> groups; ///< All rank groups; empty in most reports and in those of other gateways.

    friend bool operator==(const load_report &, const load_report &) = default;
};

std::string encodeLoadReport(const load_report &report);

/** @returns nothing when the datagram is not a report. */
std::optional<load_report> decodeLoadReport(std::string_view datagram);

} // namespace bronzechute
