#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzechute {

/** HTTP header fields in order of arrival; names are compared without regard to case. */
using header_list = std::vector<std::pair<std::string, std::string>>;

/** @returns the first value of the field, or nothing. */
std::optional<std::string> findHeader(const header_list &headers, std::string_view name);

/** @returns whether two field names are equal without regard to case. */
bool headerNamesEqual(std::string_view left, std::string_view right);

/** Removes the fields of a name. */
void removeHeader(header_list &headers, std::string_view name);

/** Sets a field, in place of those that have its name. */
void replaceHeader(header_list &headers, const std::string &name, const std::string &value);

} // namespace bronzechute
