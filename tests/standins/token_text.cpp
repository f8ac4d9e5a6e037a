#include "standins/token_text.h"

#include <cstdio>
#include <xxhash.h>

namespace bronzechute::standins {

std::string tokenText(std::string_view prompt, std::size_t index)
{
    constexpr unsigned digestMask = 0xFFFFFF;
    char text[48];
    const auto digest = static_cast<unsigned>(XXH3_64bits_withSeed(prompt.data(), prompt.size(), index)) & digestMask;
    std::snprintf(text, sizeof text, " %zu-%06x", index, digest);
    return text;
}

std::string answerText(std::string_view prompt, std::size_t first, std::size_t last)
{
    std::string text;
    for (std::size_t index = first; index < last; ++index) {
        text += tokenText(prompt, index);
    }
    return text;
}

} // namespace bronzechute::standins
