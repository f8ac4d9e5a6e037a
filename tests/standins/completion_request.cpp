#include "standins/completion_request.h"

#include <nlohmann/json.hpp>

namespace bronzechute::standins {

std::optional<completion_request> completion_request::parse(bool chat, const std::string &json,
                                                            std::uint64_t maximumTokens, std::string &problem)
{
    completion_request request;
    request.chat = chat;
    try {
        const auto object = nlohmann::json::parse(json);
        if (chat) {
            for (const auto &message : object.at("messages")) {
                request.prompt.append(message.at("role").get<std::string>())
                    .append(": ")
                    .append(message.at("content").get<std::string>())
                    .append("\n");
            }
        } else {
            request.prompt = object.at("prompt").get<std::string>();
        }
        request.stream = object.value("stream", false);
        request.lastToken = object.value("max_tokens", request.lastToken);
        request.firstToken = object.value("resume_from", request.firstToken);
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
