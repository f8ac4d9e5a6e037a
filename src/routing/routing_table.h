#pragma once

#include "routing/routing_document.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzechute {

/** A routing document with the indexes that requests are matched with. Immutable; share it by pointer. */
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
     * @param host as the caller sent it, with or without a port
     * @param path without the query
     * @returns the route of that host with the longest prefix that begins the path, or null
     */
    const route *findRoute(std::string_view host, std::string_view path) const;

    /** @returns the account that holds the key, or null. */
    const keyed_account *findAccount(std::string_view key) const;

    /** @returns null for a service that the document does not have. */
    const routed_service *findService(std::string_view name) const;

    /** @returns the shortest longest pause between events that a route to the service declares; 0 without any. */
    std::chrono::milliseconds gapTargetOf(std::string_view service) const;

    /** @returns whether requests need a key unless their route is anonymous. */
    bool asksForKeys() const
    {
        return !m_document.accounts.empty();
    }

private:
    struct text_hash
    {
        using is_transparent = void;

        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };

    template<typename T>
    using text_map = std::unordered_map<std::string, T, text_hash, std::equal_to<>>;

    const routing_document m_document;
    text_map<std::vector<std::size_t>> m_routesByHost; ///< Longest prefix first.
    text_map<std::size_t> m_accountByKey;
    text_map<std::size_t> m_serviceByName;
    text_map<std::chrono::milliseconds> m_gapTargets; ///< By service.
};

} // namespace bronzechute
