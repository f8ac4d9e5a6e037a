#include "request/stream_continuation.h"

#include "backend/sse_parser.h"

#include <algorithm>
#include <array>

namespace bronzechute {

namespace {

using nlohmann::ordered_json;

/** Default of max_tokens for /v1/completions in an OpenAI-compatible engine. */
constexpr std::int64_t defaultCompletionTokens = 16;

/**
 * Request fields with which an answer cannot be continued, because a second request would start again with the state
 * that they need in the engine: several choices, tool calls and constrained output formats.
 */
constexpr std::array<const char *, 16> unsupportedFields {"tools",
                                                          "tool_choice",
                                                          "functions",
                                                          "function_call",
                                                          "response_format",
                                                          "structured_outputs",
                                                          "guided_json",
                                                          "guided_regex",
                                                          "guided_choice",
                                                          "guided_grammar",
                                                          "top_logprobs",
                                                          "prompt_logprobs",
                                                          "suffix",
                                                          "echo",
                                                          "continue_final_message",
                                                          "use_beam_search"};

constexpr std::array<const char *, 2> tokenLimitFields {"max_tokens", "max_completion_tokens"};
constexpr std::array<const char *, 4> identityFields {"id", "created", "model", "system_fingerprint"};

bool isNullOrFalse(const ordered_json &value)
{
    return value.is_null() || (value.is_boolean() && !value.get<bool>());
}

bool isOneOrAbsent(const ordered_json &request, const char *name)
{
    return !request.contains(name) || request[name].is_null() || request[name] == 1;
}

bool isAbsentOrUnset(const ordered_json &object, const char *name)
{
    return !object.contains(name) || isNullOrFalse(object[name]);
}

bool isEmpty(const ordered_json &value)
{
    return value.is_string() ? value.get_ref<const std::string &>().empty() : value.empty();
}

bool canContinue(const ordered_json &request, bool chat)
{
    return request.is_object()
        && std::ranges::all_of(unsupportedFields, [&](const char *name) { return isAbsentOrUnset(request, name); })
        && isAbsentOrUnset(request, "logprobs") && isOneOrAbsent(request, "n") && isOneOrAbsent(request, "best_of")
        && request.contains(chat ? "messages" : "prompt")
        && (chat ? request["messages"].is_array() : request["prompt"].is_string());
}

/** @returns the end of the first event in the bytes, or npos. */
std::size_t eventEnd(std::string_view bytes)
{
    const std::size_t lineFeeds = bytes.find("\n\n");
    const std::size_t returns = bytes.find("\r\n\r\n");
    return std::min(lineFeeds == std::string_view::npos ? lineFeeds : lineFeeds + 2,
                    returns == std::string_view::npos ? returns : returns + 4);
}

} // namespace

stream_continuation::stream_continuation(bool chat, const std::string &body) : m_chat(chat), m_body(body)
{
    if (!canContinue(ordered_json::parse(body, nullptr, false), chat)) {
        disableContinuation();
    }
}

void stream_continuation::disableContinuation()
{
    m_continuable = false;
    m_body = {};
    m_text = {};
}

std::string stream_continuation::feed(std::string_view bytes)
{
    std::string relayed;
    if (!m_continuable && !m_rewriting) {
        return std::string(bytes);
    }
    m_incompleteEvent.append(bytes);
    for (std::size_t end = eventEnd(m_incompleteEvent); end != std::string::npos && !m_broken;
         end = eventEnd(m_incompleteEvent)) {
        const auto event = relayEvent(std::string_view(m_incompleteEvent).substr(0, end));
        if (event) {
            relayed += *event;
            m_incompleteEvent.erase(0, end);
            continue;
        }
        disableContinuation();
        m_broken = m_rewriting;
        break;
    }
    if (m_incompleteEvent.size() > maxEventBytes) {
        disableContinuation();
        m_broken = m_rewriting;
    }
    if (!m_continuable && !m_rewriting) {
        relayed += std::exchange(m_incompleteEvent, {});
    }
    return relayed;
}

std::string stream_continuation::end()
{
    if (!m_rewriting) {
        return std::exchange(m_incompleteEvent, {});
    }
    // Without a finish reason, a truncated continuation would look complete to a caller that does not check it.
    m_broken = m_broken || !m_incompleteEvent.empty() || !m_finished;
    return {};
}

std::optional<std::string> stream_continuation::relayEvent(std::string_view raw)
{
    sse_parser parser;
    const std::vector<sse_event> events = parser.feed(raw);
    if (events.empty()) {
        return std::string(raw);
    }
    if (events.front().data == "[DONE]") {
        return relayDone(raw);
    }
    ordered_json event = ordered_json::parse(events.front().data, nullptr, false);
    if (!event.is_object() || event.contains("error") || !addEvent(event)) {
        return std::nullopt;
    }
    if (!m_rewriting) {
        return std::string(raw);
    }
    return hasNewContent(event) ? "data: " + event.dump() + "\n\n" : "";
}

std::optional<std::string> stream_continuation::relayDone(std::string_view raw)
{
    if (m_rewriting && !m_finished) {
        return std::nullopt;
    }
    m_finished = true;
    return std::string(raw);
}

bool stream_continuation::addEvent(ordered_json &event)
{
    if (!event.contains("choices") || !event["choices"].is_array() || event["choices"].size() > 1) {
        return false;
    }
    m_roleRepeated = false;
    if (!event["choices"].empty() && !addChoice(event["choices"][0])) {
        return false;
    }
    applyIdentity(event);
    adjustUsage(event);
    return true;
}

bool stream_continuation::addChoice(ordered_json &choice)
{
    if (!choice.is_object() || choice.value("index", 0) != 0 || !isAbsentOrUnset(choice, "logprobs")) {
        return false;
    }
    const char *textField = "text";
    ordered_json *holder = &choice;
    if (m_chat) {
        if (!choice.contains("delta") || !choice["delta"].is_object()) {
            return false;
        }
        holder = &choice["delta"];
        textField = "content";
        for (const auto &[name, value] : holder->items()) {
            if (name != "role" && name != "content" && !isEmpty(value)) {
                return false; // A tool call, reasoning or refusal, which is not part of the text.
            }
        }
        if (holder->contains("role")) {
            m_roleRepeated = m_roleSeen;
            m_roleSeen = true;
            if (m_rewriting && m_roleRepeated) {
                holder->erase("role");
            }
        }
    }
    if (holder->contains(textField) && !(*holder)[textField].is_null()) {
        if (!(*holder)[textField].is_string()) {
            return false;
        }
        addText((*holder)[textField].get<std::string>());
    }
    m_finished = m_finished || !isAbsentOrUnset(choice, "finish_reason");
    return true;
}

void stream_continuation::addText(const std::string &text)
{
    m_tokens += text.empty() ? 0 : 1;
    if (m_text.size() + text.size() > maxTextBytes) {
        disableContinuation(); // The stream is still relayed.
    } else if (m_continuable) {
        m_text += text;
    }
}

void stream_continuation::applyIdentity(ordered_json &event)
{
    if (m_identity.is_null()) {
        m_identity = ordered_json::object();
        for (const char *name : identityFields) {
            if (event.contains(name)) {
                m_identity[name] = event[name];
            }
        }
    }
    if (m_rewriting) {
        for (const auto &[name, value] : m_identity.items()) {
            event[name] = value;
        }
    }
}

void stream_continuation::adjustUsage(ordered_json &event)
{
    if (!event.contains("usage") || !event["usage"].is_object()) {
        return;
    }
    ordered_json &usage = event["usage"];
    const auto number = [&usage](const char *name) {
        return usage.contains(name) && usage[name].is_number_integer() ? usage[name].get<std::int64_t>() : 0;
    };
    // An event may contain several tokens, so a count that the engine reports is more accurate.
    m_tokens = std::max(m_tokens, m_tokensBefore + number("completion_tokens"));
    if (m_rewriting && usage.contains("prompt_tokens") && usage.contains("completion_tokens")) {
        usage["prompt_tokens"] = std::max<std::int64_t>(0, number("prompt_tokens") - m_tokensBefore);
        usage["completion_tokens"] = number("completion_tokens") + m_tokensBefore;
    }
}

bool stream_continuation::hasNewContent(const ordered_json &event) const
{
    if (!m_roleRepeated || (event.contains("usage") && event["usage"].is_object())) {
        return true;
    }
    const ordered_json &choice = event["choices"][0];
    const ordered_json &delta = choice["delta"];
    return !isAbsentOrUnset(choice, "finish_reason") || (delta.contains("content") && !isEmpty(delta["content"]));
}

std::optional<std::string> stream_continuation::continuationBody() const
{
    if (!m_continuable || m_finished || m_broken) {
        return std::nullopt;
    }
    ordered_json next = ordered_json::parse(m_body, nullptr, false);
    if (!m_text.empty()) {
        if (m_chat) {
            next["messages"].push_back({{"role", "assistant"}, {"content", m_text}});
            next["continue_final_message"] = true;
            next["add_generation_prompt"] = false;
        } else {
            next["prompt"] = next["prompt"].get<std::string>() + m_text;
            if (isAbsentOrUnset(next, "max_tokens")) {
                next["max_tokens"] = defaultCompletionTokens;
            }
        }
        for (const char *name : tokenLimitFields) {
            if (isAbsentOrUnset(next, name)) {
                continue;
            }
            if (!next[name].is_number_integer() || next[name].get<std::int64_t>() <= m_tokens) {
                return std::nullopt;
            }
            next[name] = next[name].get<std::int64_t>() - m_tokens;
        }
        if (!isAbsentOrUnset(next, "min_tokens") && next["min_tokens"].is_number_integer()) {
            next["min_tokens"] = std::max<std::int64_t>(0, next["min_tokens"].get<std::int64_t>() - m_tokens);
        }
    }
    std::string body = next.dump();
    return body.size() > maxBodyBytes ? std::nullopt : std::optional(std::move(body));
}

void stream_continuation::beginContinuation()
{
    m_incompleteEvent.clear();
    m_rewriting = true;
    m_tokensBefore = m_tokens;
}

} // namespace bronzechute
