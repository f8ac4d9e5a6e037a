#include "routing/routing_table.h"

#include <algorithm>
#include <cctype>

namespace bronzechute {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string normalized(host.substr(0, host.find(':')));
    std::ranges::transform(normalized, normalized.begin(),
                           [](unsigned char character) { return std::tolower(character); });
    return normalized;
}

} // namespace

routing_table::routing_table(routing_document document) : m_document(std::move(document))
{
    for (std::size_t index = 0; index < m_document.routes.size(); ++index) {
        m_routesByHost[normalizedHost(m_document.routes[index].host)].push_back(index);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::ranges::stable_sort(routes, [this](std::size_t left, std::size_t right) {
            return m_document.routes[left].pathPrefix.size() > m_document.routes[right].pathPrefix.size();
        });
    }
    for (std::size_t index = 0; index < m_document.accounts.size(); ++index) {
        for (const std::string &key : m_document.accounts[index].keys) {
            m_accountByKey.emplace(key, index);
        }
    }
    for (std::size_t index = 0; index < m_document.services.size(); ++index) {
        m_serviceByName.emplace(m_document.services[index].name, index);
    }
    for (const route &declared : m_document.routes) {
        if (declared.gapTarget.count() == 0) {
            continue;
        }
        for (const weighted_service &share : declared.services) {
            const auto [smallest, isNew] = m_gapTargets.try_emplace(share.service, declared.gapTarget);
            smallest->second = std::min(smallest->second, declared.gapTarget);
        }
    }
}

const route *routing_table::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(normalizedHost(host));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : routes->second) {
        if (path.starts_with(m_document.routes[index].pathPrefix)) {
            return &m_document.routes[index];
        }
    }
    return nullptr;
}

const keyed_account *routing_table::findAccount(std::string_view key) const
{
    const auto account = m_accountByKey.find(key);
    return account == m_accountByKey.end() ? nullptr : &m_document.accounts[account->second];
}

const routed_service *routing_table::findService(std::string_view name) const
{
    const auto service = m_serviceByName.find(name);
    return service == m_serviceByName.end() ? nullptr : &m_document.services[service->second];
}

std::chrono::milliseconds routing_table::gapTargetOf(std::string_view service) const
{
    const auto target = m_gapTargets.find(service);
    return target == m_gapTargets.end() ? std::chrono::milliseconds(0) : target->second;
}

} // namespace bronzechute
