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
 * Joins the platform's lagging VM list, the static list and the heartbeats heard by this entry.
 *
 * - An endpoint is usable when its own heartbeat was heard within 2 s on an open connection, says `serving`, and no
 *   source has said `leaving` about this incarnation. Lists only say where to connect.
 * - A heartbeat beats lists: an endpoint that a list does not name, or no longer names, stays usable while heard.
 * - `leaving` from any source holds until a heartbeat with a new incarnation. A list that still says `leaving` after
 *   that is taken as old; only its change from live to leaving counts again.
 *   A list's mark from before the first heartbeat ends when the list says live again.
 * - Silence makes an endpoint unusable but does not remove it: a partition looks the same as a death. It is forgotten
 *   when no source has mentioned it for 10 minutes.
 * - An empty VM list is taken as an outage of its source and ignored.
 */
class membership_table
{
public:
    static constexpr std::chrono::seconds silence {2};
    static constexpr std::chrono::minutes forgetAfter {10};

    void setStaticList(time_point now, std::span<const listed_vm> vms);
    void onVmList(time_point now, std::span<const listed_vm> vms);

    /** @param address of the connection's other side; kept when no list has an address. */
    void onHeartbeat(time_point now, std::string_view name, std::string_view address, std::uint64_t incarnation,
                     const endpoint_status &status);

    /** The connection to this incarnation was closed. */
    void onDisconnected(std::string_view name, std::uint64_t incarnation);

    bool usable(time_point now, const member &each) const;

    /** @returns usable endpoints by name; the pointers hold until the next change of the table. */
    std::vector<const member *> usable(time_point now) const;

    /** @returns all endpoints by name, to connect to; the pointers hold until the next change of the table. */
    std::vector<const member *> known() const;

    /** @returns the endpoint, or null. */
    const member *find(std::string_view name) const;

    /** Removes what no source has mentioned for a long time. @returns the names removed. */
    std::vector<std::string> forgetOld(time_point now);

private:
    member &at(std::string_view name);

    std::map<std::string, member, std::less<>> m_members;
};

} // namespace bronzechute
