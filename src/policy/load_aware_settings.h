#pragma once

#include <chrono>

namespace bronzechute {

/** Parameters of load_aware_chooser. */
struct load_aware_settings
{
    std::chrono::milliseconds statusLifetime {2000}; ///< An endpoint with an older status gets nothing.
    int entries = 1; ///< Entries that send to the same endpoints, this one included.
    int samples = 3; ///< Candidates compared for a request without a prefix.
    double affinityBound = 1.25; ///< An endpoint keeps a prefix up to this multiple of the mean cost...
    double affinitySlack = 0.1; ///< ...plus this, so that an idle pool does not scatter prefixes.
    double roomBelow = 0.9; ///< Below this mean cost the pool has room, and no prefix is worth a wait in a queue.
    double holdersPerShare = 2; ///< Endpoints that hold a prefix, over its share of the requests times the pool's size.
    double hotHolders = 2; ///< A prefix is hot, and spread by load, from this many holders on.
    double serviceTolerance = 1.5; ///< Service times within this factor of the mean count as equal: a mean over about
                                   ///< 20 answers whose length differs as much as its mean is off by a quarter.
    double remotePenalty = 0.5; ///< Added to the cost of endpoints in another data centre.
};

} // namespace bronzechute
