#include "store/etcd_connection.h"

#include "base/boot_clock.h"
#include "store/etcd_messages.h"

#include <algorithm>

namespace bronzechute {

namespace {

using nlohmann::json;

constexpr int lastSuccessStatus = 299;
constexpr int tooManyRequests = 429;
constexpr int serverErrors = 500;

std::string messageOf(const json &answer)
{
    const json &message = etcd::field(answer, "message");
    return message.is_string() ? message.get<std::string>() : std::string();
}

// etcd reports by one status that a proposal was refused and that it timed out after it was sent to the other members,
// so only messages that exclude an effect count as proof.
bool provesNoEffect(const std::string &message)
{
    return message.find("no leader") != std::string::npos || message.find("not capable") != std::string::npos
        || message.find("server stopped") != std::string::npos;
}

error refusalOf(const http_answer &answer, const std::string &url)
{
    const std::string message = messageOf(json::parse(answer.body, nullptr, false));
    const std::string detail = "HTTP status " + std::to_string(answer.status) + " " + message;
    if (answer.status >= serverErrors) {
        return {provesNoEffect(message) ? errc::unavailable : errc::outcome_unknown, "store.call", url, detail};
    }
    if (message.find("lease not found") != std::string::npos) {
        return {errc::not_found, "store.call", url, detail};
    }
    if (answer.status == tooManyRequests) {
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
                                           std::chrono::milliseconds timeout, effect kind)
{
    http_call call;
    call.method = "POST";
    call.url = url;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body;
    call.timeout = timeout;
    call.connectTimeout = std::min(timeout, m_options.connectTimeout);
    call.mayRepeat = kind == effect::repeatable;
    const auto answer = m_client->perform(call);
    if (!answer) {
        // An answer over the client's limit comes from a call that the store has handled.
        const bool tooLarge = answer.error().code == errc::too_large && kind == effect::write;
        return tooLarge ? error {errc::outcome_unknown, "store.call", url, answer.error().detail} : answer.error();
    }
    if (answer.value().status > lastSuccessStatus) {
        return refusalOf(answer.value(), url);
    }
    json parsed = json::parse(answer.value().body, nullptr, false);
    if (!parsed.is_object()) {
        return error {kind == effect::write ? errc::outcome_unknown : errc::protocol_violation, "store.call", url,
                      "the answer is not a JSON object"};
    }
    return parsed;
}

result<json> etcd_connection::call(const std::string &path, const json &request, effect kind)
{
    const std::string body = request.dump();
    const time_point end = boot_clock::now() + m_options.callTimeout;
    const std::size_t count = m_options.endpoints.size();
    const std::size_t first = m_preferred.load();
    error last {errc::unavailable, "store.call", {}, "no endpoint is configured"};
    for (std::size_t attempt = 0; attempt < count; ++attempt) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - boot_clock::now());
        if (left.count() <= 0) {
            break;
        }
        // The remaining time is shared evenly, so that a silent endpoint leaves time for the others.
        const auto share = std::max(std::chrono::milliseconds(1), left / static_cast<long>(count - attempt));
        const std::size_t index = (first + attempt) % count;
        auto answer = callEndpoint(m_options.endpoints[index] + path, body, share, kind);
        if (answer) {
            m_preferred = index;
            return answer;
        }
        last = answer.error();
        const bool tryNext =
            last.code == errc::unavailable || (last.code == errc::outcome_unknown && kind == effect::repeatable);
        if (!tryNext) {
            if (last.code == errc::outcome_unknown) {
                m_preferred = (index + 1) % count;
            }
            return last;
        }
    }
    if (kind == effect::repeatable && last.code == errc::outcome_unknown) {
        last.code = errc::unavailable; // Nothing was changed.
    }
    return last;
}

void etcd_connection::advanceEndpoint(const std::string &failed)
{
    std::size_t current = m_preferred.load();
    if (m_options.endpoints[current] == failed) {
        m_preferred.compare_exchange_strong(current, (current + 1) % m_options.endpoints.size());
    }
}

} // namespace bronzechute
