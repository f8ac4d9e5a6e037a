#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/**
 * Reads the ids of the prompt parts that a request may share with others. The last part belongs to the request alone
 * and is left out.
 * @param field comma-separated "ID:TOKENS" entries, in the order of the prompt
 * @returns distinct ids in the order of the prompt, at most maxPromptParts; entries without an id are left out
 */
std::vector<std::string> sharedPromptParts(std::string_view field);

constexpr std::size_t maxPromptParts = 16;
constexpr std::size_t maxPromptPartBytes = 64; ///< Longer ids are cut off.

} // namespace bronzechute
