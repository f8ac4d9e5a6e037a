#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace bronzechute {

/** @returns the field as text for a table cell, or "-" when it is absent or null; fractions have three decimals. */
std::string tableCell(const nlohmann::json &object, const char *key);

} // namespace bronzechute
