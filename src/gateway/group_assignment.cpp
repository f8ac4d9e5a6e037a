#include "gateway/group_assignment.h"

#include "balance/group_choice.h"
#include "observe/log.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <vector>

namespace bronzechute {

namespace {

// A change of what a rank group takes is logged this often at most.
constexpr std::chrono::seconds limitLogInterval {2};
// With more of its limit left, a rank group is not filled before the gateways hear of each other's requests.
constexpr double ampleShare = 0.5;
// Of the slots, which a service with a single rank group uses however long its passes are: nothing else serves it.
constexpr double leastShareOfOnlyGroup = 0.35;

/** Writes the limit of a rank group to the log, when it has changed by a request per engine. */
void reportLimit(endpoint_group &group, const pass_limit &limit, time_point now)
{
    constexpr double minLoggedChange = 1.0;
    const bool beyond = limit.reason != pass_limit_reason::none && group.running > limit.requests * group.endpoints;
    const bool changed = limit.reason != group.reported.reason || beyond != group.reportedBeyond
        || std::abs(limit.requests - group.reported.requests) >= minLoggedChange;
    if (!changed || now - group.reportedAt < limitLogInterval) {
        return;
    }
    static constexpr std::array<const char *, 3> reasons {"none", "shifts", "long_passes"};
    logLine(log_level::info, "gateway", "concurrency limit of a rank group changed",
            {{"group", group.name},
             {"reason", reasons.at(static_cast<std::size_t>(limit.reason))},
             {"requests_per_engine", limit.requests},
             {"in_time_share", limit.inTimeShare},
             {"beyond_limit", beyond},
             {"running", group.running},
             {"endpoints", group.endpoints}});
    group.reported = limit;
    group.reportedBeyond = beyond;
    group.reportedAt = now;
}

/** @param isOnly whether no other rank group serves the service */
group_room roomOf(endpoint_group &group, const pass_latency_model &model, double share, bool isOnly, time_point now)
{
    const pass_limit &limit = group.pace.limit(model, now);
    reportLimit(group, limit, now);
    group.isLimited = limit.reason != pass_limit_reason::none;
    group_room room {static_cast<double>(group.running), std::nullopt, limit.canBeInTime(), false, false, true};
    if (group.isLimited) {
        const double least = isOnly ? leastShareOfOnlyGroup * model.slots : 0.0;
        room.limit = std::max(limit.requests, least) * group.endpoints;
        const double left = *room.limit - room.running;
        const bool hasShare = group.room.allows(left, share, now);
        room.mayFill = hasShare || left > ampleShare * *room.limit;
    }
    return room;
}

} // namespace

void assignRequests(std::span<endpoint_group *const> groups, std::span<const group_member> members,
                    const pass_latency_model &model, std::size_t levels, double share, time_point now)
{
    std::vector<group_room> rooms;
    rooms.reserve(groups.size());
    for (endpoint_group *const group : groups) {
        rooms.push_back(roomOf(*group, model, share, groups.size() == 1, now));
    }
    for (const group_member &member : members) {
        const auto found = std::ranges::find(groups, member.group);
        if (found == groups.end()) {
            continue;
        }
        group_room &room = rooms[static_cast<std::size_t>(std::distance(groups.begin(), found))];
        room.serves = room.serves || member.serves;
        room.hasFreeSlot = room.hasFreeSlot || member.hasFreeSlot;
    }
    for (endpoint_group *const group : groups) {
        group->takes.assign(levels, false);
    }
    for (std::size_t level = 0; level < levels; ++level) {
        const std::vector<bool> chosen = chooseGroups(rooms, level);
        for (std::size_t index = 0; index < groups.size(); ++index) {
            groups[index]->takes[level] = chosen[index];
        }
    }
}

} // namespace bronzechute
