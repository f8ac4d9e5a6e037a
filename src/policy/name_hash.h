#pragma once

#include <cstdint>
#include <string_view>

namespace bronzechute {

/** @returns a hash of an endpoint's name that is the same in every process. */
std::uint64_t hashName(std::string_view name);

} // namespace bronzechute
