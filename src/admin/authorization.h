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
 * Authenticates the caller by the key in the header "Authorization: Bearer KEY".
 * @returns the caller; errc::permission_denied when the header is missing or no team has the key
 */
result<admin_caller> authenticate(const configuration &content, const header_list &headers);

/**
 * Checks the changes against the team's permissions. A team that is not an operator may change only the pools and
 * classes granted to it, and the order of classes only if all classes are granted to it.
 * @returns the first change that the team may not make, or nothing
 */
std::optional<configuration_change> findForbiddenChange(const operator_team &team,
                                                        const std::vector<configuration_change> &changes);

} // namespace bronzechute
