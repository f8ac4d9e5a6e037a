#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** @returns the text with all bytes but letters, digits and "-._~" as percent escapes. */
std::string percentEncode(std::string_view text);

/** @returns the text with its percent escapes decoded; nothing if one is malformed. */
std::optional<std::string> percentDecode(std::string_view text);

} // namespace bronzechute
