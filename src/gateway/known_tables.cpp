#include "gateway/known_tables.h"

#include "gateway/hub_rule.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds tableTimeout {3000};
constexpr std::chrono::milliseconds tableQueuesTimeout {1000}; ///< Queues change within a second.
constexpr std::size_t maxSentReports = 80; ///< Those of some 4 s, longer than a hub keeps a report.
// Several hubs of a data centre may send for a while; datagrams with invented senders must not take more memory.
constexpr std::size_t maxTables = 256;

bool isHeard(const kept_table &kept, time_point now)
{
    return kept.receivedAt != time_point {} && now - kept.receivedAt <= hub_rule::hubTimeout;
}

} // namespace

void known_tables::rememberReport(sent_report report)
{
    m_sentReports.push_back(std::move(report));
    if (m_sentReports.size() > maxSentReports) {
        m_sentReports.pop_front();
    }
}

const sent_report *known_tables::sentReport(std::uint64_t sequence) const
{
    const auto found = std::ranges::find(m_sentReports, sequence, &sent_report::sequence);
    return found == m_sentReports.end() ? nullptr : &*found;
}

std::optional<time_point> known_tables::reportSentAt(std::uint64_t sequence) const
{
    const sent_report *report = sentReport(sequence);
    return report == nullptr ? std::nullopt : std::optional(report->at);
}

bool known_tables::isNews(const std::string &host, const load_table &table)
{
    tables_by_host &tables = table.ofAll ? m_ofAll : m_ofDataCentres;
    const auto found = tables.find(host);
    if (found == tables.end()) {
        return true;
    }
    kept_table &kept = found->second;
    if (table.incarnation == kept.table.incarnation) {
        return table.sequence > kept.table.sequence;
    }
    if (table.incarnation == kept.formerIncarnation) {
        return false;
    }
    const std::uint64_t former = kept.table.incarnation;
    kept = {};
    kept.formerIncarnation = former;
    kept.table.incarnation = table.incarnation;
    return true;
}

const kept_table *known_tables::keep(const std::string &host, load_table table, time_point now)
{
    tables_by_host &tables = table.ofAll ? m_ofAll : m_ofDataCentres;
    if (!tables.contains(host) && tables.size() >= maxTables) {
        forgetOutdated(tables, now);
        if (tables.size() >= maxTables) {
            return nullptr;
        }
    }
    kept_table &kept = tables[host];
    if (!table.list && (table.listNumber != kept.table.listNumber || kept.receivedAt == time_point {})) {
        kept.table.incarnation = table.incarnation;
        return nullptr;
    }
    if (table.list) {
        kept.list = std::move(*table.list);
        table.list.reset();
    }
    if (table.queues) {
        kept.queues = std::move(*table.queues);
        kept.queuesIncluded = table.included;
        kept.queuesAt = now;
        table.queues.reset();
    }
    kept.host = host;
    kept.receivedAt = now;
    kept.table = std::move(table);
    return &kept;
}

void known_tables::forgetOutdated(tables_by_host &tables, time_point now)
{
    std::erase_if(tables, [now](const auto &entry) { return !isCurrent(entry.second, now); });
}

bool known_tables::isCurrent(const kept_table &kept, time_point now)
{
    return kept.receivedAt != time_point {} && now - kept.receivedAt <= tableTimeout;
}

std::vector<const kept_table *> known_tables::ofOtherDataCentres(time_point now) const
{
    std::map<std::string, std::map<std::string, int>> fresh; // By data centre and host.
    std::map<std::string, const kept_table *> newest;
    for (const auto &[host, kept] : m_ofDataCentres) {
        if (!isCurrent(kept, now)) {
            continue;
        }
        const std::string &dataCentre = kept.table.dataCentre;
        if (isHeard(kept, now)) {
            fresh[dataCentre].emplace(host, kept.table.freshMembers);
        }
        const kept_table *&last = newest[dataCentre];
        if (last == nullptr || last->receivedAt < kept.receivedAt) {
            last = &kept;
        }
    }
    std::vector<const kept_table *> tables;
    for (const auto &[dataCentre, last] : newest) {
        const auto heard = fresh.find(dataCentre);
        tables.push_back(heard == fresh.end() ? last : &m_ofDataCentres.at(hub_rule::choose(heard->second)));
    }
    return tables;
}

std::vector<const kept_table *> known_tables::heardOfOtherDataCentres(time_point now) const
{
    std::vector<const kept_table *> tables;
    for (const auto &[host, kept] : m_ofDataCentres) {
        if (isHeard(kept, now)) {
            tables.push_back(&kept);
        }
    }
    return tables;
}

std::vector<const kept_table *> known_tables::used(bool isHub, const std::string &followed, std::size_t ownGateways,
                                                   time_point now) const
{
    const kept_table *widest = nullptr;
    const kept_table *ofFollowed = nullptr;
    for (const auto &[host, kept] : m_ofAll) {
        if (!isCurrent(kept, now)) {
            continue;
        }
        if (widest == nullptr || kept.list.members.size() > widest->list.members.size()) {
            widest = &kept;
        }
        if (host == followed) {
            ofFollowed = &kept;
        }
    }
    // A hub that is new knows little for a moment; the last table of its predecessor is better then.
    const auto isWideEnough = [widest](std::size_t members) {
        return widest == nullptr || members * 2 >= widest->list.members.size();
    };
    if (isHub || widest == nullptr) {
        std::vector<const kept_table *> others = ofOtherDataCentres(now);
        if (isWideEnough(coveredBy(others).size() + ownGateways)) {
            return others;
        }
    }
    if (ofFollowed != nullptr && isWideEnough(ofFollowed->list.members.size())) {
        return {ofFollowed};
    }
    return {widest};
}

std::set<std::string> known_tables::coveredBy(const std::vector<const kept_table *> &tables)
{
    std::set<std::string> hosts;
    for (const kept_table *kept : tables) {
        for (const table_member &member : kept->list.members) {
            hosts.insert(member.host);
        }
    }
    return hosts;
}

std::map<std::uint32_t, endpoint_load> known_tables::loads(const std::vector<const kept_table *> &tables,
                                                           const peer_loads &peers, time_point now) const
{
    auto total = peers.loads(coveredBy(tables), now);
    for (const kept_table *kept : tables) {
        const std::size_t count = std::min(kept->list.endpoints.size(), kept->table.loads.size());
        for (std::size_t index = 0; index < count; ++index) {
            endpoint_load &sum = total[kept->list.endpoints[index]];
            sum.requests += kept->table.loads[index].requests;
            sum.tokens += kept->table.loads[index].tokens;
        }
        const sent_report *own = kept->table.ofAll ? sentReport(kept->table.included) : nullptr;
        if (own == nullptr) {
            continue;
        }
        for (const auto &[key, load] : own->loads) {
            endpoint_load &sum = total[key];
            sum.requests = std::max(0, sum.requests - load.requests);
            sum.tokens = std::max<std::int64_t>(0, sum.tokens - load.tokens);
        }
    }
    std::erase_if(total, [](const auto &entry) { return entry.second == endpoint_load {}; });
    return total;
}

std::map<std::string, queue_summary> known_tables::queues(const std::vector<const kept_table *> &tables,
                                                          const peer_loads &peers, time_point now) const
{
    auto total = peers.queues(coveredBy(tables), now);
    for (const kept_table *kept : tables) {
        const sent_report *own = kept->table.ofAll ? sentReport(kept->queuesIncluded) : nullptr;
        const bool isOwnPartUnknown = kept->table.ofAll && own == nullptr;
        if (isOwnPartUnknown || now - kept->queuesAt > tableQueuesTimeout) {
            continue;
        }
        for (const auto &[service, queue] : kept->queues) {
            queue_summary others = queue;
            if (own != nullptr && own->queues.contains(service)) {
                others -= own->queues.at(service);
            }
            total[service] += others;
        }
    }
    return total;
}

} // namespace bronzechute
