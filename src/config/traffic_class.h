#pragma once

#include "config/selector.h"

#include <chrono>
#include <string>
#include <vector>

namespace bronzechute {

/** Requests that share pools, priority and deadlines. The first matching class of the document applies. */
struct traffic_class
{
    std::string name;
    std::vector<std::string> accounts; ///< Client accounts that match; empty: any.
    std::vector<std::string> models; ///< Models that match; empty: any.
    selector pools; ///< Over the labels of pools.
    int priority = 5; ///< 0..9, higher first.
    std::chrono::milliseconds deadline {60000}; ///< For the whole answer.
    std::chrono::milliseconds firstTokenLimit {0}; ///< For an attempt to show its first byte; 0: none.
    bool resumeElsewhere = false; ///< Whether another engine may continue a broken stream.

    friend bool operator==(const traffic_class &, const traffic_class &) = default;
};

} // namespace bronzechute
