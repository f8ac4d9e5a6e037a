#pragma once

#include "config/selector.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** Rule that marks calls of a plain service as safe to retry. */
struct repeatable_rule
{
    std::string method; ///< Upper case.
    std::string path; ///< Path prefix relative to the service's prefix; begins with '/'.

    friend bool operator==(const repeatable_rule &, const repeatable_rule &) = default;
};

/** An HTTP service without a model, reached through a path prefix. */
struct plain_service
{
    std::string name;
    std::string prefix; ///< Path prefix; begins with '/' and does not end with it.
    selector pools; ///< Selects pools by their labels.
    std::vector<repeatable_rule> repeatable; ///< Calls that match no rule must not be retried.
    std::chrono::milliseconds deadline {30000};
    bool readYourWrites = false;

    friend bool operator==(const plain_service &, const plain_service &) = default;

    /**
     * @param pathBelowPrefix path without the service's prefix and without the query
     * @returns whether the call may be executed more than once
     */
    bool mayRepeat(std::string_view method, std::string_view pathBelowPrefix) const;
};

} // namespace bronzechute
