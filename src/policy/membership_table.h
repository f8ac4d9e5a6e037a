#pragma once

#include "policy/listed_vm.h"
#include "policy/member.h"

#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/**
 * Combines the platform's VM list, which lags, with the static list and the heartbeats received by this entry.
 *
 * - An endpoint is usable if its last heartbeat was received within 2 s on a connection that is still open and reported
 *   `serving`, and no source has reported this incarnation as `leaving`. The lists only supply addresses.
 * - Heartbeats take precedence over the lists: an endpoint that is not, or no longer, in a list stays usable while its
 *   heartbeats arrive.
 * - `leaving` from any source holds until a heartbeat with a new incarnation arrives. A VM list that still reports
 *   `leaving` afterwards is considered stale; only a new change from live to leaving counts again.
 *   `leaving` from a VM list before the first heartbeat is also cleared when the VM list reports the endpoint as live.
 * - Missing heartbeats make an endpoint unusable but do not remove it, because a network partition looks the same as a
 *   failed endpoint. It is removed when no source has mentioned it for 10 minutes.
 * - An empty VM list is considered an outage of its source and ignored.
 */
class membership_table
{
public:
    static constexpr std::chrono::seconds heartbeatTimeout {2};
    static constexpr std::chrono::minutes retentionTime {10};

    void setStaticList(time_point now, std::span<const listed_vm> vms);
    void onVmList(time_point now, std::span<const listed_vm> vms);

    /** @param address remote address of the connection; used when no list has an address */
    void onHeartbeat(time_point now, std::string_view name, std::string_view address, std::uint64_t incarnation,
                     const endpoint_status &status);

    /** Reports that the connection to this incarnation was closed. */
    void onDisconnected(std::string_view name, std::uint64_t incarnation);

    bool usable(time_point now, const member &each) const;

    /** @returns usable endpoints, sorted by name; the pointers are valid until the next change of the table. */
    std::vector<const member *> usable(time_point now) const;

    /** @returns all known endpoints, sorted by name; the pointers are valid until the next change of the table. */
    std::vector<const member *> known() const;

    /** @returns the endpoint, or null. */
    const member *find(std::string_view name) const;

    /** Removes endpoints that no source has mentioned for retentionTime. @returns the names of those removed. */
    std::vector<std::string> forgetOld(time_point now);

private:
    member &findOrAdd(std::string_view name);

    std::map<std::string, member, std::less<>> m_members;
};

} // namespace bronzechute
