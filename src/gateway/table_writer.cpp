#include "gateway/table_writer.h"

#include <algorithm>

namespace bronzechute {

namespace {

// With the interval of member reports, keeps the age of what is known of another data centre below 250 ms.
constexpr std::chrono::milliseconds tableInterval {75};
// With that of members, spans less than the time after which the coordinator is taken for absent, also with one loss.
constexpr std::chrono::milliseconds tableHeartbeatInterval {120};
constexpr std::chrono::milliseconds listInterval {1000};
// Gateways that are not named for 3 s are taken for stopped.
constexpr std::chrono::milliseconds maxListInterval {2000};
constexpr int newListRepetitions = 2;
// Shares of the rate.
constexpr double tableShare = 0.5;
constexpr double listShare = 0.3;

boot_clock::duration timeOf(std::size_t bytes, double bytesPerSecond)
{
    return std::chrono::duration_cast<boot_clock::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond));
}

} // namespace

table_writer::table_writer() : m_tableInterval(tableInterval), m_listInterval(listInterval)
{
}

void table_writer::setPace(std::size_t receivers, double maxBytesPerSecond)
{
    m_tableInterval =
        std::max<boot_clock::duration>(tableInterval, timeOf(receivers * m_tableBytes, tableShare * maxBytesPerSecond));
    m_listInterval = std::clamp<boot_clock::duration>(timeOf(receivers * m_listBytes, listShare * maxBytesPerSecond),
                                                      listInterval, maxListInterval);
}

bool table_writer::mayBeDue(time_point now) const
{
    return now - m_sentAt >= m_tableInterval;
}

bool table_writer::sameMembers(const table_list &left, const table_list &right)
{
    return left.dataCentres == right.dataCentres && left.hubs == right.hubs
        && std::ranges::equal(left.members, right.members, [](const table_member &a, const table_member &b) {
               return a.host == b.host && a.dataCentre == b.dataCentre && a.knowsHubs == b.knowsHubs;
           });
}

std::optional<load_table> table_writer::next(load_table table, table_list list,
                                             const std::map<std::uint32_t, endpoint_load> &loads, time_point now)
{
    const bool known = std::ranges::all_of(
        loads, [this](const auto &entry) { return std::ranges::binary_search(m_list.endpoints, entry.first); });
    const bool listDue = now - m_listSentAt >= m_listInterval;
    bool isNew = m_listNumber == 0 || !known || !sameMembers(list, m_list);
    if (isNew || listDue) {
        // Idle endpoints stay in the list until it is due again, so that it changes seldom.
        std::vector<std::uint32_t> endpoints;
        endpoints.reserve(loads.size());
        for (const auto &[key, load] : loads) {
            endpoints.push_back(key);
        }
        if (!listDue) {
            std::vector<std::uint32_t> joined;
            std::ranges::set_union(endpoints, m_list.endpoints, std::back_inserter(joined));
            endpoints = std::move(joined);
        }
        isNew = isNew || endpoints != m_list.endpoints;
        list.endpoints = std::move(endpoints);
        m_list = std::move(list);
    }
    if (isNew) {
        ++m_listNumber;
        m_listRepetitions = newListRepetitions;
    }
    for (const std::uint32_t key : m_list.endpoints) {
        const auto found = loads.find(key);
        table.loads.push_back(found == loads.end() ? endpoint_load {} : found->second);
    }
    const bool withList = listDue || m_listRepetitions > 0;
    if (!withList && table.loads == m_loads && now - m_sentAt < tableHeartbeatInterval) {
        return std::nullopt;
    }
    if (withList) {
        table.list = m_list;
        m_listSentAt = now;
        m_listRepetitions = std::max(0, m_listRepetitions - 1);
    }
    m_loads = table.loads;
    m_sentAt = now;
    table.listNumber = m_listNumber;
    table.sequence = ++m_sequence;
    return table;
}

} // namespace bronzechute
