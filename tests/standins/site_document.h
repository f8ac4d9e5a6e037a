#pragma once

#include <cstdint>
#include <string>

namespace bronzechute::standins {

/** Values that a gateway_site's callers and operator use. */
namespace site_names {
constexpr const char *host = "site.example";
constexpr const char *key = "site-key";
constexpr const char *account = "office";
constexpr const char *plainService = "office";
constexpr const char *modelService = "models";
} // namespace site_names

/**
 * @returns the operators' configuration of a version, in JSON: a route of each kind of request under /read/, /order/
 *          and /stream/, and routes under /marker-V/ for this version and the one before, which show what is in force
 */
std::string siteDocument(std::int64_t version);

} // namespace bronzechute::standins
