#pragma once

#include "config/label_set.h"
#include "config/selector.h"

#include <string>

namespace bronzechute {

/** Kind of backend that an endpoint serves. */
enum class endpoint_kind { model, service };

/** A named set of endpoints, selected by their labels. */
struct endpoint_pool
{
    std::string name;
    endpoint_kind kind = endpoint_kind::model;
    label_set labels; ///< Labels of the pool itself, by which traffic classes and services select it.
    selector members; ///< Selects endpoints by their labels.
    std::string model; ///< Model name; set only for kind model.

    friend bool operator==(const endpoint_pool &, const endpoint_pool &) = default;
};

} // namespace bronzechute
