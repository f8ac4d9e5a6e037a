#pragma once

#include "config/selector.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** Calls of a plain service that may be repeated. */
struct repeatable_rule
{
    std::string method; ///< Upper case.
    std::string path; ///< Path prefix below the service's prefix, beginning with '/'.

    friend bool operator==(const repeatable_rule &, const repeatable_rule &) = default;
};

/** A plain HTTP service behind a path prefix. */
struct plain_service
{
    std::string name;
    std::string prefix; ///< Begins with '/', does not end with '/'.
    selector pools; ///< Over the labels of pools.
    std::vector<repeatable_rule> repeatable; ///< Everything else may not be repeated.
    std::chrono::milliseconds deadline {30000};
    bool readYourWrites = false;

    friend bool operator==(const plain_service &, const plain_service &) = default;

    /**
     * @param pathBelowPrefix path without the service's prefix and without the query
     * @returns whether the call may run more than once
     */
    bool mayRepeat(std::string_view method, std::string_view pathBelowPrefix) const;
};

} // namespace bronzechute
