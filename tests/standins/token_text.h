#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bronzechute::standins {

/**
 * @returns the text of the token at an index of the answer to a prompt: a space, the index, a dash and a digest of
 *          both, so that a caller can check each token and their order.
 */
std::string tokenText(std::string_view prompt, std::size_t index);

/** @returns the texts of the tokens first to last - 1. */
std::string answerText(std::string_view prompt, std::size_t first, std::size_t last);

} // namespace bronzechute::standins
