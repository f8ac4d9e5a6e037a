#pragma once

#include <cstdint>

namespace bronzechute {

/** How the requests of a service have shared its room at a gateway, since its start. */
struct share_counts
{
    std::uint64_t refused = 0;
    std::uint64_t cameBack = 0; ///< Requests of callers that were refused before.
    std::uint64_t refusedAgain = 0; ///< Of those, the ones that were refused.
    std::uint64_t places = 0; ///< Of those, the ones that were started from a place.
    std::uint64_t inversions = 0; ///< Starts while a request at another gateway had waited longer.
    std::uint64_t turns = 0; ///< Starts ahead of more urgent requests that waited here.

    friend bool operator==(const share_counts &, const share_counts &) = default;
};

/** Adds the counts of another service. */
inline share_counts &operator+=(share_counts &sum, const share_counts &other)
{
    sum.refused += other.refused;
    sum.cameBack += other.cameBack;
    sum.refusedAgain += other.refusedAgain;
    sum.places += other.places;
    sum.inversions += other.inversions;
    sum.turns += other.turns;
    return sum;
}

} // namespace bronzechute
