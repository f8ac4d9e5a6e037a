#pragma once

namespace bronzechute {

/** What a gateway knows about an endpoint at the moment it places a request. */
struct endpoint_view
{
    int slots = 1; ///< Requests that run at the same time.
    int running = 0; ///< Requests of all gateways there, as last heard.
    bool usable = true; ///< Listed, in service, within its cold rate and not tried by this request before.
    bool suspect = false; ///< Failed or refused work recently.
    bool local = false; ///< In the gateway's own data centre.
    double gapMs = 0; ///< Recent pause between the events of its streams; 0 when unknown.

    friend bool operator==(const endpoint_view &, const endpoint_view &) = default;
};

} // namespace bronzechute
