#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace bronzechute::standins {

/** @returns an int64 field in the JSON mapping: a string or a number; 0 when absent. */
std::int64_t int64Field(const nlohmann::json &object, const char *name);

/** @returns a bytes field, decoded; empty when absent. */
std::string bytesField(const nlohmann::json &object, const char *name);

/** @returns whether the key is in [key, rangeEnd); with an empty rangeEnd, whether it is the key. */
bool inRange(const std::string &candidate, const std::string &key, const std::string &rangeEnd);

} // namespace bronzechute::standins
