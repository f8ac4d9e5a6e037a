#pragma once

#include "config/label_set.h"

#include <string>

namespace bronzechute {

/** What operators set for a single endpoint. */
struct endpoint_override
{
    std::string name;
    label_set labels; ///< Added to the labels of the endpoint's own settings; these win.
    bool drained = false; ///< Takes no new work.

    friend bool operator==(const endpoint_override &, const endpoint_override &) = default;
};

} // namespace bronzechute
