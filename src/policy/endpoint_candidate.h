#pragma once

#include "base/boot_clock.h"
#include "policy/serving_state.h"

#include <cstdint>
#include <string_view>

namespace bronzechute {

/**
 * What one entry knows about an endpoint when it selects one. Flat and free of allocation, because a choice reads
 * hundreds of these; the texts belong to the caller's tables.
 */
struct endpoint_candidate
{
    std::string_view name;
    std::string_view dataCentre;
    std::uint64_t nameHash = 0; ///< hashName(name); all entries must use the same value.
    serving_state state = serving_state::starting; ///< From the last status.
    bool cold = false; ///< From the last status.
    bool ejected = false; ///< By the circuit breaker.
    bool probeAllowed = false; ///< Whether an ejected endpoint may get one request now.
    int inFlight = 0; ///< From the last status: requests of all entries.
    int queued = 0; ///< From the last status.
    int limit = 0; ///< From the last status.
    int ownInFlight = 0; ///< Requests that this entry has there now, sent and not finished.
    int ownInFlightAtStatus = 0; ///< ownInFlight when the last status arrived.
    double meanServiceMs = 0; ///< From the last status.
    boot_clock::duration statusAge {}; ///< Time since the last status arrived.
    double affinity = 0; ///< Share of the prompt's blocks that the endpoint has probably cached, 0..1.
};

} // namespace bronzechute
