#pragma once

#include "balance/waiting_request.h"

#include <cstddef>

namespace bronzechute {

/** State of a line when a request arrives at it. */
struct line_state
{
    std::size_t ahead = 0; ///< Requests that would be served before.
    boot_clock::duration startInterval {}; ///< Mean time between two starts; zero when unknown.
    boot_clock::duration arrivalInterval {}; ///< Mean time between two first tries of callers; zero when unknown.
    bool anyUsable = true; ///< Whether the service has an endpoint that takes work at all.

    friend bool operator==(const line_state &, const line_state &) = default;
};

/** Whether a request may wait. */
struct admission_decision
{
    bool admitted = true;
    boot_clock::duration expectedWait {};

    friend bool operator==(const admission_decision &, const admission_decision &) = default;
};

/**
 * Decides whether a request joins the line of its service. It does when its expected start is of use to the caller;
 * otherwise it is refused at once. What is late already starts only as often as first tries leave room for it, since
 * those go before.
 */
admission_decision admit(const line_state &line, const waiting_request &request, time_point now);

} // namespace bronzechute
