#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzechute {

/** HTTP header fields in the order received; names are case-insensitive. */
using header_list = std::vector<std::pair<std::string, std::string>>;

/** @returns the first value of the named field, or std::nullopt. */
std::optional<std::string> findHeader(const header_list &headers, std::string_view name);

/** @returns the values of all fields with the name, joined to one list by commas as RFC 9110 allows; empty if none. */
std::string joinedHeaders(const header_list &headers, std::string_view name);

/** @returns whether two field names are equal, ignoring case. */
bool headerNamesEqual(std::string_view left, std::string_view right);

/** Removes all fields with the given name. */
void removeHeader(header_list &headers, std::string_view name);

/** Sets a field, replacing all existing fields with the same name. */
void replaceHeader(header_list &headers, const std::string &name, const std::string &value);

} // namespace bronzechute
