#include "store/etcd_connection.h"

#include "base/boot_clock.h"
#include "store/etcd_messages.h"

#include <algorithm>

namespace bronzechute {

namespace {

using nlohmann::json;

constexpr int maxSuccessStatus = 299;
constexpr int tooManyRequestsStatus = 429;
constexpr int minServerErrorStatus = 500;

std::string errorMessage(const json &answer)
{
    const json &message = etcd::field(answer, "message");
    return message.is_string() ? message.get<std::string>() : std::string();
}

// etcd uses the same status for a proposal that was rejected and for one that timed out after it was sent to the other
// members, so only the messages that rule out an effect are accepted as proof.
bool provesNoEffect(const std::string &message)
{
    return message.find("no leader") != std::string::npos || message.find("not capable") != std::string::npos
        || message.find("server stopped") != std::string::npos;
}

error errorFromAnswer(const http_answer &answer, const std::string &url)
{
    const std::string message = errorMessage(json::parse(answer.body, nullptr, false));
    const std::string detail = "HTTP status " + std::to_string(answer.status) + " " + message;
    if (answer.status >= minServerErrorStatus) {
        return {provesNoEffect(message) ? errc::unavailable : errc::outcome_unknown, "store.call", url, detail};
    }
    if (message.find("lease not found") != std::string::npos) {
        return {errc::not_found, "store.call", url, detail};
    }
    if (answer.status == tooManyRequestsStatus) {
        return {errc::overloaded, "store.call", url, detail};
    }
    if (message.find("too large") != std::string::npos) {
        return {errc::too_large, "store.call", url, detail};
    }
    return {errc::protocol_violation, "store.call", url, detail};
}

} // namespace

etcd_connection::etcd_connection(etcd_store_options options, std::unique_ptr<http_client> client)
    : m_options(std::move(options)), m_client(std::move(client))
{
}

result<json> etcd_connection::callEndpoint(const std::string &url, const std::string &body,
                                           std::chrono::milliseconds timeout, call_kind kind)
{
    http_call call;
    call.method = "POST";
    call.url = url;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body;
    call.timeout = timeout;
    call.connectTimeout = std::min(timeout, m_options.connectTimeout);
    call.mayRepeat = kind == call_kind::idempotent;
    const auto answer = m_client->perform(call);
    if (!answer) {
        // The store has processed the call when its answer exceeds the size limit of the client.
        const bool tooLarge = answer.error().code == errc::too_large && kind == call_kind::write;
        return tooLarge ? error {errc::outcome_unknown, "store.call", url, answer.error().detail} : answer.error();
    }
    if (answer.value().status > maxSuccessStatus) {
        return errorFromAnswer(answer.value(), url);
    }
    json parsed = json::parse(answer.value().body, nullptr, false);
    if (!parsed.is_object()) {
        return error {kind == call_kind::write ? errc::outcome_unknown : errc::protocol_violation, "store.call", url,
                      "the response is not a JSON object"};
    }
    return parsed;
}

result<json> etcd_connection::call(const std::string &path, const json &request, call_kind kind)
{
    const std::string body = request.dump();
    const time_point deadline = boot_clock::now() + m_options.callTimeout;
    const std::size_t count = m_options.endpoints.size();
    const std::size_t first = m_preferred.load();
    error lastError {errc::unavailable, "store.call", {}, "no store endpoint is configured"};
    for (std::size_t attempt = 0; attempt < count; ++attempt) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - boot_clock::now());
        if (remaining.count() <= 0) {
            break;
        }
        // The remaining time is divided evenly, so that an unresponsive endpoint leaves time for the others.
        const auto endpointTimeout =
            std::max(std::chrono::milliseconds(1), remaining / static_cast<long>(count - attempt));
        const std::size_t index = (first + attempt) % count;
        auto answer = callEndpoint(m_options.endpoints[index] + path, body, endpointTimeout, kind);
        if (answer) {
            m_preferred = index;
            return answer;
        }
        lastError = answer.error();
        const bool tryNext = lastError.code == errc::unavailable
            || (lastError.code == errc::outcome_unknown && kind == call_kind::idempotent);
        if (!tryNext) {
            if (lastError.code == errc::outcome_unknown) {
                m_preferred = (index + 1) % count;
            }
            return lastError;
        }
    }
    if (kind == call_kind::idempotent && lastError.code == errc::outcome_unknown) {
        lastError.code = errc::unavailable; // An idempotent call has no outcome to resolve.
    }
    return lastError;
}

void etcd_connection::advanceEndpoint(const std::string &failed)
{
    std::size_t current = m_preferred.load();
    if (m_options.endpoints[current] == failed) {
        m_preferred.compare_exchange_strong(current, (current + 1) % m_options.endpoints.size());
    }
}

} // namespace bronzechute
