#include "admin/admin_api.h"
#include "admin/admin_reply.h"
#include "admin/live_endpoints.h"
#include "config/configuration_diff.h"
#include "config/configuration_parser.h"

#include <algorithm>
#include <charconv>

namespace bronzechute {

namespace {

constexpr std::int64_t defaultHistoryLimit = 20;
constexpr std::int64_t maxHistoryLimit = 200;

http_reply envelopeReply(const result<configuration_envelope> &envelope)
{
    if (!envelope) {
        return errorReply(envelope.error());
    }
    return jsonReply(200, nlohmann::json::parse(serializeEnvelope(envelope.value())));
}

} // namespace

http_reply admin_api::getConfiguration(const admin_request &)
{
    return envelopeReply(m_repository.current());
}

http_reply admin_api::getRevision(const admin_request &request)
{
    std::int64_t revision = 0;
    const char *end = request.name.data() + request.name.size();
    const auto parsed = std::from_chars(request.name.data(), end, revision);
    if (parsed.ec != std::errc() || parsed.ptr != end || revision < 1) {
        return errorReply(400, "invalid_argument", "found \"" + request.name + "\", expected a revision from 1",
                          "revision");
    }
    return envelopeReply(m_repository.at(revision));
}

http_reply admin_api::getHistory(const admin_request &request)
{
    const auto limit = request.query.integer("limit");
    if (!limit) {
        return errorReply(400, "invalid_argument", limit.error().detail, "limit");
    }
    const auto count = static_cast<std::size_t>(
        std::clamp(limit.value().value_or(defaultHistoryLimit), std::int64_t {1}, maxHistoryLimit));
    // Reads one more than requested, because the oldest one listed is compared with its predecessor.
    const auto history = m_repository.history(count + 1);
    if (!history) {
        return errorReply(history.error());
    }
    const std::vector<configuration_envelope> &envelopes = history.value();
    nlohmann::json list = nlohmann::json::array();
    for (std::size_t index = 0; index < std::min(count, envelopes.size()); ++index) {
        const configuration_envelope &envelope = envelopes[index];
        const bool hasPredecessor = index + 1 < envelopes.size();
        const configuration before = hasPredecessor ? envelopes[index + 1].content : configuration();
        const bool comparable = hasPredecessor || envelope.revision == 1;
        list.push_back(
            {{"revision", envelope.revision},
             {"author", envelope.author},
             {"at", envelope.at},
             {"diff", comparable ? toJson(diffConfigurations(before, envelope.content)) : nlohmann::json()}});
    }
    return jsonReply(200, {{"history", list}});
}

http_reply admin_api::check(const admin_request &request)
{
    auto parsed = parseConfiguration(request.http.body);
    nlohmann::json diff;
    if (parsed.content) {
        const auto emptyPools = live_endpoints(m_status.status()).emptyPools(*parsed.content);
        parsed.problems.insert(parsed.problems.end(), emptyPools.begin(), emptyPools.end());
        if (const auto current = m_repository.current()) {
            diff = toJson(diffConfigurations(current.value().content, *parsed.content));
        }
    }
    return jsonReply(200,
                     {{"valid", parsed.content.has_value()}, {"problems", toJson(parsed.problems)}, {"diff", diff}});
}

http_reply admin_api::getStatus(const admin_request &)
{
    return jsonReply(200, m_status.status());
}

} // namespace bronzechute
