#pragma once

#include "balance/retry_delay.h"
#include "base/boot_clock.h"

namespace bronzechute {

/** What decides when a refused caller is told to come back. */
struct return_terms
{
    refusal_cause cause = refusal_cause::overloaded;
    boot_clock::duration expectedWait {}; ///< In the queue, or until an endpoint works; zero when unknown.
    boot_clock::duration latest {}; ///< Longest delay after which the caller still comes back.
    bool cameBack = false; ///< The caller was refused before and is not expected once more.

    friend bool operator==(const return_terms &, const return_terms &) = default;
};

} // namespace bronzechute
