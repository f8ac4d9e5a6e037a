#pragma once

namespace bronzechute {

/** What a gateway knows about an endpoint when it selects one for a request. */
struct endpoint_view
{
    int slots = 1; ///< Maximum number of concurrent requests.
    int running = 0; ///< Concurrent requests from all gateways, according to the latest reports.
    bool usable = true; ///< Listed, in service, within its cold-start rate and not yet attempted by this request.
    bool suspect = false; ///< Failed or refused a request recently.
    bool local = false; ///< In the gateway's own data centre.
    double gapMs = 0; ///< Recent time between two events of its streams; 0 when unknown.
    /**
     * Work beyond that of `running` average requests, in such requests: larger ones, and those that the other gateways
     * are expected to have placed since their reports, less those that are expected to have ended. May be negative.
     */
    double extraWork = 0;
    double memoryUse = 0; ///< Share of the memory that the running requests need; 0 when unknown.

    friend bool operator==(const endpoint_view &, const endpoint_view &) = default;
};

} // namespace bronzechute
