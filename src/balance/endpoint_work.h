#pragma once

#include "balance/endpoint_load.h"

namespace bronzechute {

/** Work at an endpoint as a gateway knows it, with what it foresees. */
struct endpoint_work
{
    endpoint_load own; ///< Of this gateway; exact.
    endpoint_load peers; ///< Of the other gateways, as last reported.
    double foreseen = 0; ///< Average requests that the others are expected to have placed since their reports.

    friend bool operator==(const endpoint_work &, const endpoint_work &) = default;
};

} // namespace bronzechute
