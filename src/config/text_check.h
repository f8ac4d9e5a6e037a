#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** Description of a valid name for diagnostics. */
constexpr const char *nameExpectation = "1 to 128 letters, digits, '.', '_' or '-'";

/** Description of a valid label key or value for diagnostics. */
constexpr const char *labelExpectation = "1 to 128 letters, digits, '.', '_', '-', '/' or ':'";

/** Description of a valid key hash for diagnostics. */
constexpr const char *hashExpectation = "64 lower-case hexadecimal digits (SHA-256 of the key)";

/** @returns whether the text is a valid name of an object; such names need no escaping in a URL path. */
bool isName(std::string_view text);

/** @returns whether the text is a valid label key or value; such texts need no quoting in a selector. */
bool isLabelText(std::string_view text);

/** @returns whether the text is a SHA-256 as 64 lower-case hexadecimal digits. */
bool isKeyHash(std::string_view text);

/** @returns whether the text is valid UTF-8. */
bool isUtf8(const std::string &text);

/** @returns the text without leading and trailing whitespace. */
std::string_view trimmed(std::string_view text);

/** @returns the words as "a, b or c". */
std::string joined(const std::vector<std::string> &words);

} // namespace bronzechute
