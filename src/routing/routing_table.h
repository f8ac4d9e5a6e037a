#pragma once

#include "routing/routing_document.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzechute {

/** Routing document with lookup indexes for matching requests. Immutable; share it by pointer. */
class routing_table
{
public:
    explicit routing_table(routing_document document);

    std::int64_t version() const
    {
        return m_document.version;
    }

    const caller_limits &limits() const
    {
        return m_document.limits;
    }

    const routing_document &document() const
    {
        return m_document;
    }

    /**
     * Finds the route of a request. Hosts are compared without regard to case.
     *
     * @param host host of the request, with or without a port
     * @param path path of the request, without the query
     * @returns the route of that host whose path prefix is the longest match, or null
     */
    const route *findRoute(std::string_view host, std::string_view path) const;

    /** @returns the account that the API key belongs to, or null. */
    const keyed_account *findAccount(std::string_view key) const;

    /** @returns the service of that name, or null. */
    const routed_service *findService(std::string_view name) const;

    /**
     * @returns the smallest gap target, the longest accepted gap between two stream events, of all routes to the
     * service; 0 when no route declares one.
     */
    std::chrono::milliseconds gapTargetOf(std::string_view service) const;

    /** @returns whether requests need an API key, unless their route is anonymous. */
    bool requiresKeys() const
    {
        return m_document.listsAccounts || !m_document.accounts.empty();
    }

private:
    struct string_hash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };

    template<typename T>
    using string_map = std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

    const routing_document m_document;
    string_map<std::vector<std::size_t>> m_routesByHost; ///< Indexes of the routes, longest path prefix first.
    string_map<std::size_t> m_accountByKey;
    string_map<std::size_t> m_serviceByName;
    string_map<std::chrono::milliseconds> m_gapTargets; ///< By service.
};

} // namespace bronzechute
