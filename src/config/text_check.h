#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** Expectation that diagnostics state for names. */
constexpr const char *nameExpectation = "1 to 128 letters, digits, '.', '_' or '-'";

/** Expectation that diagnostics state for label keys and values. */
constexpr const char *labelExpectation = "1 to 128 letters, digits, '.', '_', '-', '/' or ':'";

/** Expectation that diagnostics state for hashes of keys. */
constexpr const char *hashExpectation = "64 lower-case hexadecimal digits (SHA-256 of the key)";

/** @returns whether the text may name an object of the document; such names fit into a URL path as they are. */
bool isName(std::string_view text);

/** @returns whether the text may be a label key or value; a selector can express it without quoting. */
bool isLabelText(std::string_view text);

/** @returns whether the text is a SHA-256 as 64 lower-case hexadecimal digits. */
bool isKeyHash(std::string_view text);

/** @returns whether the text is valid UTF-8. */
bool isUtf8(const std::string &text);

/** @returns the text without blanks at both ends. */
std::string_view trimmed(std::string_view text);

/** @returns the words as "a, b or c". */
std::string joined(const std::vector<std::string> &words);

} // namespace bronzechute
