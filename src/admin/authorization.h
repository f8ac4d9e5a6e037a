#pragma once

#include "admin/admin_caller.h"
#include "base/result.h"
#include "config/configuration.h"
#include "config/configuration_change.h"
#include "http/header_list.h"

#include <optional>
#include <vector>

namespace bronzechute {

/**
 * Finds the team whose key the header "Authorization: Bearer KEY" carries.
 * @returns errc::permission_denied when the header is missing or no team has the key
 */
result<admin_caller> authenticate(const configuration &content, const header_list &headers);

/**
 * @returns the first change that the team may not make: everything but the pools and classes that it names. The order
 *          of classes may be changed only by operators and by teams that have all classes.
 */
std::optional<configuration_change> firstForbidden(const operator_team &team,
                                                   const std::vector<configuration_change> &changes);

} // namespace bronzechute
