#pragma once

#include <chrono>

namespace bronzechute {

/** How long an endpoint process remembers an attempt after its end. */
constexpr std::chrono::minutes attemptRetention {15};

/**
 * How long after a submit an entry takes the answer "not started" as proof. Shorter than attemptRetention, because an
 * endpoint process that has forgotten an attempt answers as if it had never arrived.
 */
constexpr std::chrono::minutes cancelProofAge {10};

/** Longest deadline of a request. An attempt has ended and is still remembered within cancelProofAge. */
constexpr std::chrono::minutes longestDeadline {10};

/** How long running work waits for its entry to come back over a fresh connection. */
constexpr std::chrono::milliseconds resumeGrace {2500};

/** How long an ended answer is kept for an entry that has not credited it. */
constexpr std::chrono::seconds deliveryGrace {10};

} // namespace bronzechute
