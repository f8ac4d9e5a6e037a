#pragma once

#include "base/ranked_mutex.h"
#include "config/override_index.h"
#include "entry/caller_request.h"
#include "link/link_handler.h"
#include "policy/circuit_breaker.h"
#include "policy/endpoint_chooser.h"
#include "policy/membership_table.h"
#include "policy/prefix_index.h"
#include "settings/daemon_settings.h"
#include "store/configuration_holder.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * The endpoints known to an entry: membership, load and circuit breaker state. Selects the endpoint of each attempt.
 * Safe to use from several threads.
 */
class endpoint_directory
{
public:
    endpoint_directory(const daemon_settings &settings, const configuration_holder &configuration);

    /** @returns the endpoints to keep connections to, by name and address. */
    std::vector<listed_vm> known() const;

    /**
     * Applies a new list of VMs.
     * @returns the endpoints that were removed because no source has listed them for a long time; their connections
     *          can be closed
     */
    std::vector<std::string> onVmList(std::span<const listed_vm> vms, time_point now);
    void onUp(const link_ptr &connection);
    void onHeartbeat(const link_ptr &connection, const endpoint_status &status, time_point now);
    void onDown(const link_ptr &connection);

    /**
     * Selects an endpoint for the next attempt and counts the attempt as in flight there.
     * @param tried endpoints that have already had an attempt of this request
     * @returns the connection, or null when no endpoint is eligible
     */
    link_ptr choose(const caller_request &request, const std::vector<std::string> &tried, time_point now);

    /**
     * Records an answered attempt.
     * @param latency time from the submit to the head of the answer, which is comparable between the endpoints of a
     * pool
     */
    void onAnswered(const std::string &endpoint, std::chrono::nanoseconds latency, time_point now);

    /** Records an attempt that failed or whose endpoint was unreachable. */
    void onFailed(const std::string &endpoint, time_point now);

    /** Records an attempt that says nothing about the endpoint's health, because it was refused or cancelled. */
    void onNeutral(const std::string &endpoint);

    /** @returns the estimated delay after which a retry of a refused request is likely to be served. */
    std::chrono::milliseconds retryAfter(const caller_request &request, time_point now);

    /** @returns the number of endpoints that accept requests. */
    std::size_t usableCount(time_point now) const;

    /** @returns one object for each endpoint: name, address, data centre, state, load and connection. */
    nlohmann::json describe(time_point now) const;

private:
    /** State of an endpoint as seen by this entry, in addition to what the endpoint reports. */
    struct local_view
    {
        link_ptr connection;
        int inFlight = 0; ///< Attempts of this entry that have not ended.
        int inFlightAtStatus = 0; ///< Value of inFlight when the last status arrived.
        std::uint64_t nameHash = 0;
    };

    bool eligibleLocked(const member &each, const caller_request &request, const configuration &content) const;
    std::vector<const member *> eligibleLocked(const caller_request &request, time_point now);
    endpoint_candidate candidateLocked(const member &each, time_point now);
    void removeInFlightLocked(const std::string &endpoint);

    const daemon_settings m_settings;
    const configuration_holder &m_configuration;

    mutable ranked_mutex m_mutex {lock_rank::membership};
    membership_table m_members;
    override_index m_overrides;
    std::map<std::string, local_view, std::less<>> m_views;
    circuit_breaker m_breaker;
    prefix_index m_prefixes;
    std::unique_ptr<endpoint_chooser> m_chooser;
    std::mt19937_64 m_random;
};

} // namespace bronzechute
