#include "base/bounded_json.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace bronzechute {

namespace {

/** @returns the deepest nesting of brackets outside of strings. */
int nestingOf(std::string_view text)
{
    int nesting = 0;
    int deepest = 0;
    bool inString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (inString && character == '\\') {
            ++index; // The next character is escaped.
        } else if (character == '"') {
            inString = !inString;
        } else if (!inString && (character == '[' || character == '{')) {
            deepest = std::max(deepest, ++nesting);
        } else if (!inString && (character == ']' || character == '}')) {
            --nesting;
        }
    }
    return deepest;
}

} // namespace

nlohmann::json parseBoundedJson(std::string_view text)
{
    if (nestingOf(text) > maxJsonNesting) {
        throw std::invalid_argument("JSON text is nested more than " + std::to_string(maxJsonNesting) + " levels");
    }
    return nlohmann::json::parse(text);
}

} // namespace bronzechute
