#include "admin/authorization.h"

#include "base/sha256.h"
#include "config/text_check.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr const char *authenticateStep = "admin.authenticate";

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool mayChange(const operator_team &team, const configuration_change &change)
{
    const std::vector<std::string> none;
    const std::vector<std::string> &owned = change.section == "pools" ? team.pools
        : change.section == "classes"                                 ? team.classes
                                                                      : none;
    return contains(owned, "*") || (!change.name.empty() && contains(owned, change.name));
}

} // namespace

result<admin_caller> authenticate(const configuration &content, const header_list &headers)
{
    if (content.teams.empty()) {
        admin_caller caller;
        caller.bootstrap = true;
        caller.team.name = "bootstrap";
        caller.team.isOperator = true;
        return caller;
    }
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = findHeader(headers, "Authorization").value_or("");
    if (!header.starts_with(scheme)) {
        return error {errc::permission_denied, authenticateStep, "", "the header Authorization: Bearer KEY is missing"};
    }
    const std::string hash = sha256Hex(trimmed(std::string_view(header).substr(scheme.size())));
    for (const operator_team &team : content.teams) {
        if (contains(team.keyHashes, hash)) {
            return admin_caller {team, false};
        }
    }
    return error {errc::permission_denied, authenticateStep, "", "no team has this key"};
}

std::optional<configuration_change> findForbiddenChange(const operator_team &team,
                                                        const std::vector<configuration_change> &changes)
{
    if (team.isOperator) {
        return std::nullopt;
    }
    const auto found =
        std::find_if(changes.begin(), changes.end(), [&](const auto &change) { return !mayChange(team, change); });
    return found == changes.end() ? std::nullopt : std::optional(*found);
}

} // namespace bronzechute
