#pragma once

#include "base/boot_clock.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** @returns when a prompt part was answered last, or nothing if no answer is known. */
using last_answer = std::function<std::optional<time_point>(const std::string &part)>;

/**
 * Chooses the parts of a prompt that most likely crashed an endpoint, where evidence must be bounded: those that were
 * never answered, then those whose last answer is the oldest. Of equal parts the later ones are in fewer other prompts.
 * @param parts in the order of the prompt
 * @param room greatest number of parts that are returned
 * @returns parts in the order of the prompt
 */
std::vector<std::string> likeliestParts(const std::vector<std::string> &parts, std::size_t room,
                                        const last_answer &lastAnswer);

} // namespace bronzechute
