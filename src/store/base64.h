#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** @returns the bytes in base64 with padding, as the JSON mapping of protocol buffers writes them. */
std::string encodeBase64(std::string_view bytes);

/** @returns nothing when the text is not base64 with padding. */
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace bronzechute
