#include "standins/completion_request.h"

#include "standins/token_text.h"

#include <nlohmann/json.hpp>

namespace bronzechute::standins {

namespace {

/** @returns how many tokens of the prompt's own answer make up the whole text; 0 when it is another text. */
std::size_t ownTokens(const std::string &prompt, std::string_view text)
{
    std::size_t count = 0;
    while (!text.empty()) {
        const std::string token = tokenText(prompt, count);
        if (!text.starts_with(token)) {
            return 0;
        }
        text.remove_prefix(token.size());
        ++count;
    }
    return count;
}

/** Moves the part of its own answer that the prompt ends with out of the prompt. @returns its tokens. */
std::size_t splitContinuedPrompt(std::string &prompt)
{
    const std::string firstToken = " 0-";
    for (std::size_t at = prompt.find(firstToken); at != std::string::npos; at = prompt.find(firstToken, at + 1)) {
        const std::size_t tokens = ownTokens(prompt.substr(0, at), std::string_view(prompt).substr(at));
        if (tokens > 0) {
            prompt.resize(at);
            return tokens;
        }
    }
    return 0;
}

} // namespace

std::optional<completion_request> completion_request::parse(bool chat, const std::string &json,
                                                            std::uint64_t maximumTokens, std::string &problem)
{
    completion_request request;
    request.chat = chat;
    try {
        const auto object = nlohmann::json::parse(json);
        if (chat) {
            auto messages = object.at("messages");
            std::string continued;
            if (object.value("continue_final_message", false)) {
                continued = messages.back().at("content").get<std::string>();
                messages.erase(messages.size() - 1);
            }
            for (const auto &message : messages) {
                request.prompt.append(message.at("role").get<std::string>())
                    .append(": ")
                    .append(message.at("content").get<std::string>())
                    .append("\n");
            }
            request.continuedTokens = ownTokens(request.prompt, continued);
        } else {
            request.prompt = object.at("prompt").get<std::string>();
            request.continuedTokens = splitContinuedPrompt(request.prompt);
        }
        request.stream = object.value("stream", false);
        request.lastToken = request.continuedTokens + object.value("max_tokens", request.lastToken);
        request.firstToken = object.value("resume_from", request.continuedTokens);
        request.priority = object.value("priority", request.priority);
    } catch (const nlohmann::json::exception &failure) {
        problem = failure.what();
        return std::nullopt;
    }
    if (request.lastToken > maximumTokens || request.firstToken >= request.lastToken) {
        problem = "max_tokens must be greater than resume_from and at most " + std::to_string(maximumTokens);
        return std::nullopt;
    }
    return request;
}

} // namespace bronzechute::standins
