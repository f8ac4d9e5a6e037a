#pragma once

#include "base/boot_clock.h"
#include "policy/serving_state.h"

#include <cstdint>
#include <string_view>

namespace bronzechute {

/**
 * What one entry knows about an endpoint when it selects one for a request. Contains no allocated memory, because one
 * selection reads hundreds of candidates; the strings are owned by the caller's tables.
 */
struct endpoint_candidate
{
    std::string_view name;
    std::string_view dataCentre;
    std::uint64_t nameHash = 0; ///< hashName(name); must be the same at all entries.
    serving_state state = serving_state::starting; ///< From the last status.
    bool cold = false; ///< From the last status.
    bool ejected = false; ///< By the circuit breaker.
    bool probeAllowed = false; ///< Whether an ejected endpoint may get one request now.
    int inFlight = 0; ///< From the last status: concurrent requests from all entries.
    int queued = 0; ///< From the last status.
    int limit = 0; ///< From the last status.
    int ownInFlight = 0; ///< Unfinished requests that this entry has sent there.
    int ownInFlightAtStatus = 0; ///< Value of ownInFlight when the last status arrived.
    double meanServiceMs = 0; ///< From the last status.
    boot_clock::duration statusAge {}; ///< Time since the last status arrived.
    double affinity = 0; ///< Share of the prompt's blocks that the endpoint has probably cached, 0..1.
};

} // namespace bronzechute
