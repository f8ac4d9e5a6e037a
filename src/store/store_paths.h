#pragma once

#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <string>

/** Keys and key prefixes in the platform's store. */
namespace bronzechute::store_paths {

inline constexpr const char *currentConfiguration = "/bronzechute/config/current";
inline constexpr const char *configurationHistory = "/bronzechute/config/history/";
inline constexpr const char *claims = "/bronzechute/claims/";
inline constexpr const char *incarnations = "/bronzechute/incarnations/";
inline constexpr const char *vms = "/platform/vms/";

/** @returns the history key of a revision, zero-padded to 12 digits so that keys sort by revision. */
inline std::string historyKey(std::int64_t revision)
{
    char digits[24];
    std::snprintf(digits, sizeof digits, "%012" PRId64, revision);
    return std::string(configurationHistory) + digits;
}

} // namespace bronzechute::store_paths
