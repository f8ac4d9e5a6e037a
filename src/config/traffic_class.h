#pragma once

#include "config/selector.h"

#include <chrono>
#include <string>
#include <vector>

namespace bronzechute {

/** A class of requests with common pools, priority and deadlines. The first matching class of the document applies. */
struct traffic_class
{
    std::string name;
    std::vector<std::string> accounts; ///< Client accounts that match; empty: any.
    std::vector<std::string> models; ///< Models that match; empty: any.
    selector pools; ///< Selects pools by their labels.
    int priority = 5; ///< 0 to 9; higher values are served first.
    std::chrono::milliseconds deadline {60000}; ///< Time limit for the complete answer.
    std::chrono::milliseconds firstTokenTimeout {0}; ///< Time limit for the first byte of an attempt; 0 for none.
    bool resumeElsewhere = false; ///< Whether an interrupted stream may be continued on another engine.

    friend bool operator==(const traffic_class &, const traffic_class &) = default;
};

} // namespace bronzechute
