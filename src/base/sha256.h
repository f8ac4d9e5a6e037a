#pragma once

#include <string>
#include <string_view>

namespace bronzechute {

/**
 * @returns the SHA-256 of the text as 64 lower-case hexadecimal digits, the form in which configuration documents keep
 *          API keys.
 */
std::string sha256Hex(std::string_view text);

} // namespace bronzechute
