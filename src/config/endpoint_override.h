#pragma once

#include "config/label_set.h"

#include <string>

namespace bronzechute {

/** Operator-defined settings of a single endpoint. */
struct endpoint_override
{
    std::string name;
    label_set labels; ///< Added to the labels in the endpoint's settings; take precedence over them.
    bool drained = false; ///< Whether the endpoint accepts no new work.

    /** @returns the endpoint's own labels combined with those of this override, which take precedence. */
    label_set effectiveLabels(const label_set &ownLabels) const
    {
        label_set effective = labels;
        effective.insert(ownLabels.begin(), ownLabels.end());
        return effective;
    }

    friend bool operator==(const endpoint_override &, const endpoint_override &) = default;
};

} // namespace bronzechute
