#include "policy/membership_table.h"

namespace bronzechute {

member &membership_table::findOrAdd(std::string_view name)
{
    const auto found = m_members.find(name);
    if (found != m_members.end()) {
        return found->second;
    }
    member &added = m_members[std::string(name)];
    added.name = name;
    return added;
}

void membership_table::setStaticList(time_point now, std::span<const listed_vm> vms)
{
    for (auto &[name, each] : m_members) {
        each.inStaticList = false;
    }
    for (const listed_vm &vm : vms) {
        member &each = findOrAdd(vm.name);
        each.inStaticList = true;
        each.lastMentionedAt = now;
        if (each.address.empty()) {
            each.address = vm.address;
        }
    }
}

void membership_table::onVmList(time_point now, std::span<const listed_vm> vms)
{
    if (vms.empty()) {
        return;
    }
    for (auto &[name, each] : m_members) {
        each.inVmList = false;
    }
    for (const listed_vm &vm : vms) {
        member &each = findOrAdd(vm.name);
        each.inVmList = true;
        each.lastMentionedAt = now;
        if (each.address != vm.address) {
            // The VM was replaced by another one of the same name, so the list's earlier mark does not apply to it.
            each.address = vm.address;
            each.listedLeaving = false;
        }
        if (vm.leaving && !each.listedLeaving) {
            each.leaving = true;
            each.leavingBeforeHeartbeat = each.incarnation == 0;
        } else if (!vm.leaving && each.leavingBeforeHeartbeat) {
            // The mark may be older than the first process whose heartbeat arrived. If it were not cleared, an entry
            // that starts while the list lags would never use the endpoint.
            each.leaving = false;
            each.leavingBeforeHeartbeat = false;
        }
        each.listedLeaving = vm.leaving;
    }
    for (auto &[name, each] : m_members) {
        if (!each.inVmList) {
            each.listedLeaving = false;
        }
    }
}

void membership_table::onHeartbeat(time_point now, std::string_view name, std::string_view address,
                                   std::uint64_t incarnation, const endpoint_status &status)
{
    member &each = findOrAdd(name);
    if (each.incarnation != incarnation) {
        // The first heartbeat does not clear a mark from the VM list, because the mark may apply to this incarnation.
        if (each.incarnation != 0) {
            each.leaving = false;
            each.leavingBeforeHeartbeat = false;
        }
        each.incarnation = incarnation;
    }
    if (status.state == serving_state::leaving) {
        each.leaving = true;
        each.leavingBeforeHeartbeat = false;
    }
    each.connected = true;
    each.heardAt = now;
    each.lastMentionedAt = now;
    each.status = status;
    if (status.warmPace.tokenSeconds > 0) {
        each.warmPace.tokenSeconds = status.warmPace.tokenSeconds;
    }
    if (status.warmPace.callSeconds > 0) {
        each.warmPace.callSeconds = status.warmPace.callSeconds;
    }
    if (each.address.empty()) {
        each.address = address;
    }
}

void membership_table::onDisconnected(std::string_view name, std::uint64_t incarnation)
{
    const auto found = m_members.find(name);
    if (found != m_members.end() && found->second.incarnation == incarnation) {
        found->second.connected = false;
    }
}

bool membership_table::usable(time_point now, const member &each) const
{
    return each.connected && each.heardAt && now - *each.heardAt < heartbeatTimeout && !each.leaving
        && each.status.state == serving_state::serving;
}

std::vector<const member *> membership_table::usable(time_point now) const
{
    std::vector<const member *> members;
    for (const auto &[name, each] : m_members) {
        if (usable(now, each)) {
            members.push_back(&each);
        }
    }
    return members;
}

std::vector<const member *> membership_table::known() const
{
    std::vector<const member *> members;
    members.reserve(m_members.size());
    for (const auto &[name, each] : m_members) {
        members.push_back(&each);
    }
    return members;
}

const member *membership_table::find(std::string_view name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::vector<std::string> membership_table::forgetOld(time_point now)
{
    std::vector<std::string> names;
    for (auto each = m_members.begin(); each != m_members.end();) {
        const bool listed = each->second.inStaticList || each->second.inVmList;
        if (!listed && now - each->second.lastMentionedAt >= retentionTime) {
            names.push_back(each->first);
            each = m_members.erase(each);
        } else {
            ++each;
        }
    }
    return names;
}

} // namespace bronzechute
