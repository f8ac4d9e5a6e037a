#pragma once

#include "config/label_set.h"
#include "config/selector.h"

#include <string>

namespace bronzechute {

/** What the endpoints of a pool serve. */
enum class endpoint_kind { model, service };

/** A named set of endpoints, chosen by their labels. */
struct endpoint_pool
{
    std::string name;
    endpoint_kind kind = endpoint_kind::model;
    label_set labels; ///< Tags of the pool itself, which traffic classes and services select by.
    selector members; ///< Over the labels of endpoints.
    std::string model; ///< Model name; only for kind model.

    friend bool operator==(const endpoint_pool &, const endpoint_pool &) = default;
};

} // namespace bronzechute
