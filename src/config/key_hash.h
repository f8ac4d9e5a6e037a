#pragma once

#include <string>
#include <string_view>

namespace bronzechute {

/** @returns the SHA-256 of an API key or administration key as key_hashes hold it: 64 lower-case hexadecimal digits. */
std::string keyHash(std::string_view key);

} // namespace bronzechute
