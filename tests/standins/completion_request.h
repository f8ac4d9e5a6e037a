#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace bronzechute::standins {

/** A request to /v1/chat/completions or /v1/completions. */
struct completion_request
{
    bool chat = false;
    bool stream = false;
    std::string prompt; ///< For a chat: each message as "role: content" and a line feed.
    std::size_t firstToken = 0; ///< "resume_from": index of the first token to generate.
    std::size_t lastToken = 16; ///< Index after the last one: "max_tokens", counted from token 0 or a continued text.
    std::size_t continuedTokens = 0; ///< Tokens of its own answer that the request ends with.
    int priority = 0; ///< Lower runs first, as in vLLM.

    /** @param problem set to what is wrong with the JSON when nothing is returned */
    static std::optional<completion_request> parse(bool chat, const std::string &json, std::uint64_t maximumTokens,
                                                   std::string &problem);
};

} // namespace bronzechute::standins
