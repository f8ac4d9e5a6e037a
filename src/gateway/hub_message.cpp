#include "gateway/hub_message.h"

#include "gateway/message_codec.h"
#include "gateway/store_message_codec.h"
#include "quarantine/crash_evidence_codec.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <limits>

namespace bronzechute {

namespace {

using json = nlohmann::json;

constexpr char marker = '\xc1'; // MessagePack never uses this byte, so no load report begins with it.
constexpr char reportKind = 'R';
constexpr char tableKind = 'T';
constexpr char newsKind = 'N';
constexpr char storeKind = 'S';
constexpr std::size_t followsStoreIndex = 7; ///< In a member report; earlier versions lack it.
constexpr std::size_t storeRevisionIndex = 14; ///< In a table; likewise.
constexpr std::size_t headerBytes = 2;
constexpr std::size_t includedBytes = 8;
constexpr int memberAgeUnitMs = 100; // Keeps most ages within one byte.
constexpr int ageUnitMs = 10;
constexpr int maxAgeMs = 60000;
constexpr int maxRequests = 1000000; ///< At one endpoint; sums of many stay within an int.
constexpr std::int64_t maxTokens = 1LL << 40; ///< Likewise.

std::string pack(char kind, std::size_t prefixBytes, const json &body)
{
    std::string datagram {marker, kind};
    datagram.append(prefixBytes, '\0');
    json::to_msgpack(body, datagram);
    return datagram;
}

std::uint32_t addressOf(const std::string &host)
{
    boost::system::error_code ignored; // Becomes 0.0.0.0, which stands for no host.
    return boost::asio::ip::make_address_v4(host, ignored).to_uint();
}

std::string hostOf(const json &address)
{
    const auto value = address.get<std::uint32_t>();
    return value == 0 ? std::string() : boost::asio::ip::address_v4(value).to_string();
}

int ageOf(const json &value, int unitMs)
{
    return static_cast<int>(std::clamp<std::int64_t>(value.get<std::int64_t>(), 0, maxAgeMs / unitMs)) * unitMs;
}

endpoint_load loadOf(const json &requests, const json &tokens)
{
    return {static_cast<int>(std::clamp<std::int64_t>(requests.get<std::int64_t>(), 0, maxRequests)),
            std::clamp<std::int64_t>(tokens.get<std::int64_t>(), 0, maxTokens)};
}

json encodeList(const table_list &list)
{
    json members = json::array();
    for (const table_member &member : list.members) {
        members.push_back(addressOf(member.host));
        members.push_back(member.dataCentre * 2 + (member.knowsHubs ? 0 : 1));
        members.push_back(member.ageMs / memberAgeUnitMs);
    }
    json hubs = json::array();
    for (const std::string &hub : list.hubs) {
        hubs.push_back(addressOf(hub));
    }
    return {list.endpoints, list.dataCentres, hubs, members};
}

table_list decodeList(const json &value)
{
    table_list list;
    value.at(0).get_to(list.endpoints);
    value.at(1).get_to(list.dataCentres);
    for (const json &hub : value.at(2)) {
        list.hubs.push_back(hostOf(hub));
    }
    list.hubs.resize(list.dataCentres.size());
    const json &members = value.at(3);
    for (std::size_t index = 0; index + 2 < members.size(); index += 3) {
        const auto place = members.at(index + 1).get<std::size_t>();
        table_member member {hostOf(members.at(index)), place / 2, ageOf(members.at(index + 2), memberAgeUnitMs),
                             place % 2 == 0};
        if (!member.host.empty() && member.dataCentre < list.dataCentres.size()) {
            list.members.push_back(std::move(member));
        }
    }
    return list;
}

member_report decodeReport(const json &body)
{
    member_report report;
    body.at(0).get_to(report.incarnation);
    body.at(1).get_to(report.sequence);
    body.at(2).get_to(report.dataCentre);
    body.at(3).get_to(report.isCoordinator);
    body.at(4).get_to(report.gateways);
    const json &loads = body.at(5);
    for (std::size_t index = 0; index + 2 < loads.size(); index += 3) {
        report.loads[loads.at(index).get<std::uint32_t>()] = loadOf(loads.at(index + 1), loads.at(index + 2));
    }
    if (!body.at(6).is_null()) {
        report.queues = decodeQueues(body.at(6));
    }
    if (body.size() > followsStoreIndex) {
        body.at(followsStoreIndex).get_to(report.followsStore);
    }
    return report;
}

load_table decodeTable(const json &body)
{
    load_table table;
    body.at(0).get_to(table.incarnation);
    body.at(1).get_to(table.sequence);
    body.at(2).get_to(table.ofAll);
    body.at(3).get_to(table.dataCentre);
    body.at(4).get_to(table.freshMembers);
    body.at(5).get_to(table.gateways);
    table.coordinator = hostOf(body.at(6));
    table.coordinatorAgeMs = ageOf(body.at(7), ageUnitMs);
    body.at(8).get_to(table.listNumber);
    if (!body.at(9).is_null()) {
        table.list = decodeList(body.at(9));
    }
    const json &requests = body.at(10);
    const json &tokens = body.at(11);
    for (std::size_t index = 0; index < requests.size(); ++index) {
        table.loads.push_back(loadOf(requests.at(index), tokens.at(index)));
    }
    for (const json &age : body.at(12)) {
        table.ageMs.push_back(ageOf(age, ageUnitMs));
    }
    if (!body.at(13).is_null()) {
        table.queues = decodeQueues(body.at(13));
    }
    if (body.size() > storeRevisionIndex) {
        body.at(storeRevisionIndex).get_to(table.storeRevision);
    }
    return table;
}

exchange_news decodeNewsBody(const json &body, time_point now)
{
    exchange_news news;
    body.at(0).get_to(news.origin);
    body.at(1).get_to(news.sequence);
    news.groups = decodeGroups(body.at(2));
    if (!body.at(3).is_null()) {
        news.evidence = decodeCrashEvidence(body.at(3), now);
    }
    return news;
}

} // namespace

bool isHubMessage(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() == marker;
}

std::string encodeMemberReport(const member_report &report)
{
    json loads = json::array();
    for (const auto &[key, load] : report.loads) {
        loads.push_back(key);
        loads.push_back(load.requests);
        loads.push_back(load.tokens);
    }
    return pack(reportKind, 0,
                {report.incarnation, report.sequence, report.dataCentre, report.isCoordinator, report.gateways, loads,
                 report.queues ? encodeQueues(*report.queues) : json(), report.followsStore});
}

std::string encodeLoadTable(const load_table &table)
{
    json requests = json::array();
    json tokens = json::array();
    for (const endpoint_load &load : table.loads) {
        requests.push_back(load.requests);
        tokens.push_back(load.tokens);
    }
    json ages = json::array();
    for (const int age : table.ageMs) {
        ages.push_back(age / ageUnitMs);
    }
    std::string datagram = pack(tableKind, includedBytes,
                                {table.incarnation, table.sequence, table.ofAll, table.dataCentre, table.freshMembers,
                                 table.gateways, addressOf(table.coordinator), table.coordinatorAgeMs / ageUnitMs,
                                 table.listNumber, table.list ? encodeList(*table.list) : json(), requests, tokens,
                                 ages, table.queues ? encodeQueues(*table.queues) : json(), table.storeRevision});
    setIncluded(datagram, table.included);
    return datagram;
}

void setIncluded(std::string &datagram, std::uint64_t included)
{
    for (std::size_t index = includedBytes; index > 0; --index) {
        datagram[headerBytes + index - 1] = static_cast<char>(included & 0xff);
        included >>= 8;
    }
}

std::string encodeNews(const exchange_news &news, time_point now)
{
    return pack(newsKind, 0,
                {news.origin, news.sequence, encodeGroups(news.groups),
                 news.evidence.empty() ? json() : encodeCrashEvidence(news.evidence, now)});
}

std::string encodeStoreMessage(const store_message &message)
{
    return pack(storeKind, 0, encodeStoreBody(message));
}

std::optional<hub_message> decodeHubMessage(std::string_view datagram, time_point now)
{
    if (!isHubMessage(datagram) || datagram.size() < headerBytes) {
        return std::nullopt;
    }
    const char kind = datagram[1];
    const std::size_t bodyAt = headerBytes + (kind == tableKind ? includedBytes : 0);
    if (datagram.size() <= bodyAt) {
        return std::nullopt;
    }
    const json body = parseMessage(datagram.substr(bodyAt));
    if (!body.is_array()) {
        return std::nullopt;
    }
    try {
        if (kind == reportKind) {
            return decodeReport(body);
        }
        if (kind == newsKind) {
            return decodeNewsBody(body, now);
        }
        if (kind == storeKind) {
            return decodeStoreBody(body);
        }
        if (kind == tableKind) {
            load_table table = decodeTable(body);
            for (std::size_t index = 0; index < includedBytes; ++index) {
                table.included = (table.included << 8) | static_cast<unsigned char>(datagram[headerBytes + index]);
            }
            return table;
        }
    } catch (const json::exception &) {
        return std::nullopt; // Datagrams may come from any sender; the caller logs invalid ones.
    }
    return std::nullopt;
}

} // namespace bronzechute
