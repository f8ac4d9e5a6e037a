#include "gateway/load_report.h"

#include "gateway/message_codec.h"
#include "quarantine/crash_evidence_codec.h"

namespace bronzechute {

namespace {

using json = nlohmann::json;

constexpr int reportFormatVersion = 2;
// Members that reports of earlier program versions lack.
constexpr std::size_t dataCentreIndex = 8;
constexpr std::size_t evidenceIndex = 9;
constexpr std::size_t tokensIndex = 10;
constexpr std::size_t queuesIndex = 11;
constexpr std::size_t hubModeIndex = 12;

} // namespace

std::string encodeLoadReport(const load_report &report, time_point now)
{
    // Readers of the earlier version ignore what follows the evidence, which they need as three lists.
    const json message = {reportFormatVersion,
                          report.node,
                          report.incarnation,
                          report.sequence,
                          report.isCoordinator,
                          report.peers,
                          report.running,
                          encodeGroups(report.groups),
                          report.dataCentre,
                          encodeCrashEvidence(report.evidence, now),
                          report.tokens,
                          encodeQueues(report.queues),
                          json::array({report.gateways, report.wantsReply, report.hubs})};
    std::string datagram;
    json::to_msgpack(message, datagram);
    return datagram;
}

std::optional<load_report> decodeLoadReport(std::string_view datagram, time_point now)
{
    const json message = parseMessage(datagram);
    try {
        if (!message.is_array() || message.at(0) != reportFormatVersion) {
            return std::nullopt;
        }
        load_report report;
        message.at(1).get_to(report.node);
        message.at(2).get_to(report.incarnation);
        message.at(3).get_to(report.sequence);
        message.at(4).get_to(report.isCoordinator);
        message.at(5).get_to(report.peers);
        message.at(6).get_to(report.running);
        report.groups = decodeGroups(message.at(7));
        if (message.size() > dataCentreIndex) {
            message.at(dataCentreIndex).get_to(report.dataCentre);
        }
        if (message.size() > evidenceIndex) {
            report.evidence = decodeCrashEvidence(message.at(evidenceIndex), now);
        }
        if (message.size() > tokensIndex) {
            message.at(tokensIndex).get_to(report.tokens);
        }
        if (message.size() > queuesIndex) {
            report.queues = decodeQueues(message.at(queuesIndex));
        }
        if (message.size() > hubModeIndex) {
            const json &hubMode = message.at(hubModeIndex);
            hubMode.at(0).get_to(report.gateways);
            hubMode.at(1).get_to(report.wantsReply);
            hubMode.at(2).get_to(report.hubs);
        }
        return report;
    } catch (const json::exception &) {
        return std::nullopt; // Datagrams may come from any sender; the caller logs invalid ones.
    }
}

} // namespace bronzechute
