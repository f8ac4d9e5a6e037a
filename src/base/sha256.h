#pragma once

#include <string>
#include <string_view>

namespace bronzechute {

/**
 * @returns the SHA-256 digest of the text as 64 lower-case hexadecimal digits, the format in which configuration
 *          documents store API keys.
 */
std::string sha256Hex(std::string_view text);

} // namespace bronzechute
