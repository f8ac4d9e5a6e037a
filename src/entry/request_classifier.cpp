#include "entry/request_classifier.h"

#include "base/sha256.h"
#include "request/attempt_limits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace bronzechute {

namespace {

constexpr const char *chatPath = "/v1/chat/completions";
constexpr const char *completionPath = "/v1/completions";
constexpr std::chrono::milliseconds maxQueueTimeout {10000};
constexpr std::size_t maxIdempotencyKeyLength = 255;

/** Headers that concern only the connection to the entry or that the entry sets itself; not forwarded. */
constexpr std::array<std::string_view, 12> droppedHeaders {
    "authorization",     "connection", "content-length", "expect",       "host",       "keep-alive", "te",
    "transfer-encoding", "upgrade",    "trailer",        "x-request-id", "traceparent"};

api_error badRequest(const std::string &message, const std::string &field)
{
    return {400, "invalid_request", message, field, request_outcome::not_run, {}};
}

header_list forwardedHeaders(const header_list &headers)
{
    header_list kept;
    for (const auto &header : headers) {
        const bool dropped = std::ranges::any_of(
            droppedHeaders, [&header](std::string_view name) { return headerNamesEqual(name, header.first); });
        if (!dropped) {
            kept.push_back(header);
        }
    }
    return kept;
}

/** @returns the text of the prompt or of all messages, or the error for the field that is malformed. */
std::variant<std::string, api_error> readPrompt(const nlohmann::json &body, bool chat)
{
    if (!chat) {
        if (!body.contains("prompt") || !body["prompt"].is_string()) {
            return badRequest("prompt must be a string", "prompt");
        }
        return body["prompt"].get<std::string>();
    }
    if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
        return badRequest("messages must be a non-empty array", "messages");
    }
    std::string prompt;
    for (std::size_t index = 0; index < body["messages"].size(); ++index) {
        const nlohmann::json &message = body["messages"][index];
        const std::string field = "messages[" + std::to_string(index) + "]";
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return badRequest("each message must be an object with a role", field + ".role");
        }
        if (!message.contains("content") || !(message["content"].is_string() || message["content"].is_array())) {
            return badRequest("each message must have a content", field + ".content");
        }
        prompt += message["role"].get<std::string>() + "\n" + message["content"].dump() + "\n";
    }
    return prompt;
}

std::optional<api_error> checkOptionalFields(const nlohmann::json &body)
{
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return badRequest("stream must be true or false", "stream");
    }
    if (body.contains("max_tokens")
        && (!body["max_tokens"].is_number_integer() || body["max_tokens"].get<std::int64_t>() < 1)) {
        return badRequest("max_tokens must be a positive integer", "max_tokens");
    }
    return std::nullopt;
}

bool modelIsServed(const configuration &content, const std::string &model)
{
    return std::ranges::any_of(content.pools, [&model](const endpoint_pool &pool) {
        return pool.kind == endpoint_kind::model && pool.model == model;
    });
}

} // namespace

std::variant<const client_account *, api_error> request_classifier::authenticate(const http_request &request,
                                                                                 const configuration &content) const
{
    static const std::string scheme = "Bearer ";
    const std::string header = findHeader(request.headers, "Authorization").value_or("");
    if (!header.starts_with(scheme)) {
        return api_error {401,
                          "missing_api_key",
                          "send the API key in the header Authorization: Bearer KEY",
                          "Authorization",
                          request_outcome::not_run,
                          {}};
    }
    const client_account *account = content.findAccount(sha256Hex(header.substr(scheme.size())));
    if (account == nullptr) {
        return api_error {401, "unknown_api_key", "the API key is not known", "Authorization", request_outcome::not_run,
                          {}};
    }
    return account;
}

std::variant<caller_request, api_error> request_classifier::classify(const http_request &request,
                                                                     const configuration &content) const
{
    const auto authenticated = authenticate(request, content);
    if (const auto *failure = std::get_if<api_error>(&authenticated)) {
        return *failure;
    }
    const client_account &account = *std::get<const client_account *>(authenticated);
    if (request.bodyTooLarge) {
        return api_error {413,    "body_too_large",         "the request body exceeds the limit",
                          "body", request_outcome::not_run, {}};
    }
    if (request.path == chatPath || request.path == completionPath) {
        if (request.method != "POST") {
            return api_error {405, "method_not_allowed", "use POST", "method", request_outcome::not_run, {}};
        }
        return classifyCompletion(request, content, account);
    }
    const plain_service *service = content.findService(request.path);
    if (service == nullptr) {
        return api_error {404, "unknown_path", "no service has this path", "path", request_outcome::not_run, {}};
    }
    return classifyService(request, *service, account);
}

std::variant<caller_request, api_error> request_classifier::classifyCompletion(const http_request &request,
                                                                               const configuration &content,
                                                                               const client_account &account) const
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        return badRequest("the body must be a JSON object", "body");
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return badRequest("model must be a string", "model");
    }
    const std::string model = body["model"].get<std::string>();
    if (!modelIsServed(content, model)) {
        return api_error {404, "unknown_model", "the model is not served here", "model", request_outcome::not_run, {}};
    }
    if (const auto problem = checkOptionalFields(body)) {
        return *problem;
    }
    const auto prompt = readPrompt(body, request.path == chatPath);
    if (const auto *problem = std::get_if<api_error>(&prompt)) {
        return *problem;
    }
    const traffic_class *found = content.findClass(account.name, model);
    if (found == nullptr) {
        return api_error {403,     "no_traffic_class",       "no traffic class admits this account and model",
                          "model", request_outcome::not_run, {}};
    }
    caller_request classified;
    classified.account = account.name;
    classified.accountWeight = account.share;
    classified.className = found->name;
    classified.kind = endpoint_kind::model;
    classified.model = model;
    classified.pools = found->pools;
    classified.method = request.method;
    classified.path = request.path;
    classified.headers = forwardedHeaders(request.headers);
    classified.body = request.body;
    classified.prompt = std::get<std::string>(prompt);
    classified.streaming = body.value("stream", false);
    classified.mayRepeat = true;
    classified.priority = found->priority;
    classified.deadline = std::min<std::chrono::milliseconds>(found->deadline, maxRequestDeadline);
    classified.queueTimeout = std::min(classified.deadline, maxQueueTimeout);
    // Without streaming, the first byte arrives only after the last token.
    classified.firstTokenTimeout = classified.streaming ? found->firstTokenTimeout : std::chrono::milliseconds(0);
    classified.resumeElsewhere = found->resumeElsewhere;
    return classified;
}

std::variant<caller_request, api_error> request_classifier::classifyService(const http_request &request,
                                                                            const plain_service &service,
                                                                            const client_account &account) const
{
    caller_request classified;
    classified.account = account.name;
    classified.accountWeight = account.share;
    classified.className = service.name;
    classified.service = service.name;
    classified.kind = endpoint_kind::service;
    classified.pools = service.pools;
    classified.method = request.method;
    classified.path = request.path + (request.query.empty() ? "" : "?" + request.query);
    classified.headers = forwardedHeaders(request.headers);
    classified.body = request.body;
    classified.mayRepeat =
        service.mayRepeat(request.method, std::string_view(request.path).substr(service.prefix.size()));
    classified.deadline = std::min<std::chrono::milliseconds>(service.deadline, maxRequestDeadline);
    classified.queueTimeout = std::min(classified.deadline, maxQueueTimeout);
    classified.readYourWrites = service.readYourWrites;
    classified.idempotencyKey = findHeader(request.headers, "Idempotency-Key");
    if (classified.idempotencyKey
        && (classified.idempotencyKey->empty() || classified.idempotencyKey->size() > maxIdempotencyKeyLength)) {
        return badRequest("Idempotency-Key must have 1 to 255 characters", "Idempotency-Key");
    }
    return classified;
}

} // namespace bronzechute
