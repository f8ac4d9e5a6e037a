#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/**
 * Reads the ids of the prompt parts that a request may share with others. The last part belongs to the request alone
 * and is left out. Any of the others may be the one that crashes endpoints, so that none may be left out.
 * @param field comma-separated "ID:TOKENS" entries, in the order of the prompt; its length bounds the result
 * @returns distinct ids in the order of the prompt; entries without an id are left out, and a longer id than
 * maxPromptPartBytes is replaced by its beginning and a digest of the whole
 */
std::vector<std::string> sharedPromptParts(std::string_view field);

/** @returns what a log line shows of the parts: the last maxLoggedParts, as the first ones are common to many prompts.
 */
std::vector<std::string> loggedParts(std::span<const std::string> parts);

constexpr std::size_t maxPromptPartBytes = 64;
constexpr std::size_t maxLoggedParts = 16;

} // namespace bronzechute
