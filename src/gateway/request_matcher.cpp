#include "gateway/request_matcher.h"

#include "gateway/prompt_parts.h"
#include "http/http_status.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace bronzechute {

namespace {

std::optional<std::string> apiKeyOf(const gateway_request &request, const wire_headers &names)
{
    const auto value = findHeader(request.headers, "Authorization");
    const std::string prefix = names.keyScheme + " ";
    if (!value || value->size() <= prefix.size()
        || !headerNamesEqual(std::string_view(*value).substr(0, prefix.size()), prefix)) {
        return std::nullopt;
    }
    return value->substr(prefix.size());
}

std::string selectService(const route &matched, std::mt19937_64 &random)
{
    if (matched.services.size() == 1) {
        return matched.services.front().service;
    }
    const int total = std::accumulate(matched.services.begin(), matched.services.end(), 0,
                                      [](int sum, const weighted_service &share) { return sum + share.weight; });
    int drawn = std::uniform_int_distribution<int>(0, total - 1)(random);
    for (const weighted_service &share : matched.services) {
        drawn -= share.weight;
        if (drawn < 0) {
            return share.service;
        }
    }
    return matched.services.back().service;
}

/** @returns the number of tokens, which is positive, or nothing if the text is another one. */
std::optional<int> parseTokens(std::string_view text)
{
    int tokens = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), tokens);
    return parsed.ec == std::errc() && tokens > 0 ? std::optional(tokens) : std::nullopt;
}

std::optional<int> answerTokensEstimate(const gateway_request &request, const wire_headers &names)
{
    const auto text = findHeader(request.headers, names.answerLength);
    return text ? parseTokens(*text) : std::nullopt;
}

/** @returns the first of the two counts of the field. */
std::optional<int> promptTokens(const gateway_request &request, const wire_headers &names)
{
    const auto text = findHeader(request.headers, names.tokenCounts);
    return text ? parseTokens(*text) : std::nullopt;
}

/** @returns the second of the two counts of the field, the maximum number of answer tokens. */
std::optional<int> maxAnswerTokens(const gateway_request &request, const wire_headers &names)
{
    const auto text = findHeader(request.headers, names.tokenCounts);
    const std::size_t comma = text ? text->find(',') : std::string::npos;
    if (comma == std::string::npos) {
        return std::nullopt;
    }
    return parseTokens(std::string_view(*text).substr(comma + 1));
}

} // namespace

std::variant<exchange_plan, request_rejection> matchRequest(const gateway_request &request,
                                                            std::shared_ptr<const routing_table> table,
                                                            const wire_headers &names, std::mt19937_64 &random)
{
    if (table == nullptr) {
        return request_rejection {statusServiceUnavailable, "no routing configuration received yet"};
    }
    if (!request.target.starts_with('/')) {
        return request_rejection {statusBadRequest, "request target is not an absolute path"};
    }
    exchange_plan plan;
    plan.matched = table->findRoute(findHeader(request.headers, "Host").value_or(""), request.path());
    if (plan.matched == nullptr) {
        return request_rejection {statusNotFound, "no route matches the host and path"};
    }
    plan.priority = plan.matched->priority;
    if (table->requiresKeys()) {
        const auto key = apiKeyOf(request, names);
        const keyed_account *account = key ? table->findAccount(*key) : nullptr;
        if (account == nullptr && !plan.matched->anonymous) {
            return request_rejection {statusUnauthorized, key ? "API key is unknown" : "request has no API key"};
        }
        if (account != nullptr) {
            plan.account = account->name;
            plan.priority = account->priority.value_or(plan.priority);
        }
    }
    plan.callerDeadline = request.arrivedAt + plan.matched->timeout;
    plan.deadline = plan.callerDeadline;
    if (const auto text = findHeader(request.headers, names.timeLeft)) {
        std::int64_t left = 0;
        const auto parsed = std::from_chars(text->data(), text->data() + text->size(), left);
        if (parsed.ec != std::errc() || left < 0) {
            return request_rejection {statusBadRequest, names.timeLeft + " is not a number of milliseconds"};
        }
        const std::chrono::milliseconds time(std::min<std::int64_t>(left, plan.matched->timeout.count() * 100));
        plan.callerDeadline = request.arrivedAt + time;
        plan.deadline = std::min(plan.deadline, plan.callerDeadline);
    }
    plan.promptTokens = promptTokens(request, names);
    plan.maxAnswerTokens = maxAnswerTokens(request, names);
    plan.answerTokensEstimate = answerTokensEstimate(request, names);
    plan.promptParts = sharedPromptParts(joinedHeaders(request.headers, names.promptParts));
    plan.service = selectService(*plan.matched, random);
    plan.table = std::move(table);
    return plan;
}

} // namespace bronzechute
