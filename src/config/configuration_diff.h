#pragma once

#include "config/configuration.h"
#include "config/configuration_change.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bronzechute {

/**
 * Compares two documents, matching objects by name. Order is compared only among classes, because the first matching
 * class applies: inserting a class before an existing one is reported as a change of the path "classes".
 */
std::vector<configuration_change> diffConfigurations(const configuration &before, const configuration &after);

/** @returns the text of each change; see configuration_change::toString(). */
std::vector<std::string> toLines(const std::vector<configuration_change> &changes);

/** @returns the changes as a JSON array of objects {path, old, new}. */
nlohmann::json toJson(const std::vector<configuration_change> &changes);

} // namespace bronzechute
