#pragma once

#include "config/configuration.h"
#include "config/configuration_change.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bronzechute {

/**
 * Compares two documents. Objects are matched by name. The order matters only among classes, of which the first match
 * applies: a class that is not appended after all that were there counts as a change of the order, path "classes".
 */
std::vector<configuration_change> diffConfigurations(const configuration &before, const configuration &after);

/** @returns one line for each change. */
std::vector<std::string> toLines(const std::vector<configuration_change> &changes);

/** @returns a list of objects {path, old, new}. */
nlohmann::json toJson(const std::vector<configuration_change> &changes);

} // namespace bronzechute
