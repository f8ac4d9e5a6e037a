#pragma once

#include <chrono>

namespace bronzechute {

/** How long an endpoint process keeps the record of an attempt after its end. */
constexpr std::chrono::minutes attemptRetention {15};

/**
 * How long after a submit an entry accepts the reply "not started" as proof that the attempt did not run. Must be
 * shorter than attemptRetention, because an endpoint process replies "not started" when the record has expired.
 */
constexpr std::chrono::minutes cancelProofValidity {10};

/** Maximum deadline of a request. Not longer than cancelProofValidity, so that an attempt ends while the proof is
 * valid. */
constexpr std::chrono::minutes maxRequestDeadline {10};

/** How long a running attempt waits for its entry to resume it over a new connection. */
constexpr std::chrono::milliseconds resumeTimeout {2500};

/** How long a finished answer is retained for an entry that has not credited all of it. */
constexpr std::chrono::seconds deliveryTimeout {10};

} // namespace bronzechute
