#pragma once

#include <chrono>

namespace bronzechute {

/** Parameters of load_aware_chooser. */
struct load_aware_settings
{
    std::chrono::milliseconds statusLifetime {2000}; ///< An endpoint with an older status gets no requests.
    int entries = 1; ///< Number of entries that send to the same endpoints, including this one.
    int samples = 3; ///< Random candidates compared for a request without a prefix.
    double affinityBound = 1.25; ///< Maximum cost of an endpoint selected by affinity, as a multiple of the mean cost.
    double affinitySlack = 0.1; ///< Added to that bound, so that an idle pool does not scatter prefixes.
    double spareCapacityBelow = 0.9; ///< Below this mean cost, the pool has spare capacity and no prefix is worth a
                                     ///< wait in a queue.
    double replicasPerShare = 2; ///< Number of endpoints that cache a prefix, as a multiple of its share of the
                                 ///< requests times the size of the pool.
    double hotReplicas = 2; ///< A prefix with at least this many replicas is hot and is distributed by load.
    double serviceTolerance = 1.5; ///< Service times within this factor of the mean count as equal: a mean over about
                                   ///< 20 responses whose lengths vary as much as their mean is off by a quarter.
    double remotePenalty = 0.5; ///< Added to the cost of endpoints in another data centre.
};

} // namespace bronzechute
