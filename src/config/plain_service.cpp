#include "config/plain_service.h"

#include <algorithm>

namespace bronzechute {

namespace {

/**
 * @returns whether a server could normalise the path to a different one. Such a path must not match a rule, since
 *          otherwise "/stock/../orders" would match a rule for "/stock" and an order could be executed twice.
 */
bool isAmbiguous(std::string_view path)
{
    if (path.find_first_of("%;\\") != std::string_view::npos || path.find("//") != std::string_view::npos) {
        return true;
    }
    for (std::size_t slash = path.find('/'); slash != std::string_view::npos; slash = path.find('/', slash + 1)) {
        const std::string_view segment = path.substr(slash + 1, path.find('/', slash + 1) - slash - 1);
        if (segment == "." || segment == "..") {
            return true;
        }
    }
    return false;
}

bool hasPathPrefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

bool plain_service::mayRepeat(std::string_view method, std::string_view pathBelowPrefix) const
{
    const std::string_view path = pathBelowPrefix.empty() ? "/" : pathBelowPrefix;
    return !isAmbiguous(path) && std::any_of(repeatable.begin(), repeatable.end(), [&](const repeatable_rule &rule) {
        return rule.method == method && hasPathPrefix(path, rule.path);
    });
}

} // namespace bronzechute
