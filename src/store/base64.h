#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** Encodes bytes as padded base64, the encoding of bytes fields in the JSON mapping of protocol buffers. */
std::string encodeBase64(std::string_view bytes);

/** @returns the decoded bytes, or nothing when the text is not padded base64. */
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace bronzechute
