#include "config/configuration.h"

#include <algorithm>

namespace bronzechute {

namespace {

bool isEmptyOrContains(const std::vector<std::string> &names, std::string_view name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

template<typename T>
const T *findByName(const std::vector<T> &items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const T &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const endpoint_override *configuration::findEndpoint(std::string_view name) const
{
    return findByName(endpoints, name);
}

bool configuration::inService(std::string_view dataCentre) const
{
    const data_centre *found = findByName(dataCentres, dataCentre);
    return found == nullptr || found->inService;
}

const plain_service *configuration::findService(std::string_view path) const
{
    const plain_service *best = nullptr;
    for (const plain_service &service : services) {
        const bool below = path.starts_with(service.prefix)
            && (path.size() == service.prefix.size() || path[service.prefix.size()] == '/');
        if (below && (best == nullptr || service.prefix.size() > best->prefix.size())) {
            best = &service;
        }
    }
    return best;
}

const traffic_class *configuration::findClass(std::string_view account, std::string_view model) const
{
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const traffic_class &each) {
        return isEmptyOrContains(each.accounts, account) && isEmptyOrContains(each.models, model);
    });
    return found == classes.end() ? nullptr : &*found;
}

const client_account *configuration::findAccount(std::string_view keyHash) const
{
    const auto found = std::find_if(accounts.begin(), accounts.end(), [&](const client_account &account) {
        return !account.keyHashes.empty() && isEmptyOrContains(account.keyHashes, keyHash);
    });
    return found == accounts.end() ? nullptr : &*found;
}

label_set configuration::effectiveLabels(std::string_view endpoint, const label_set &ownLabels) const
{
    const endpoint_override *found = findEndpoint(endpoint);
    return found == nullptr ? ownLabels : found->effectiveLabels(ownLabels);
}

} // namespace bronzechute
