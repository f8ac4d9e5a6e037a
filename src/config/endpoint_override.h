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

    /** @returns the endpoint's own labels with the operators' added. */
    label_set effectiveLabels(const label_set &ownLabels) const
    {
        label_set effective = labels;
        effective.insert(ownLabels.begin(), ownLabels.end());
        return effective;
    }

    friend bool operator==(const endpoint_override &, const endpoint_override &) = default;
};

} // namespace bronzechute
