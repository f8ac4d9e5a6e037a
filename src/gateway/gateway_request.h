#pragma once

#include "base/boot_clock.h"
#include "http/header_list.h"

#include <memory>
#include <string>
#include <string_view>

namespace bronzechute {

/** A complete request from a caller. */
struct gateway_request
{
    std::string method;
    std::string target; ///< Path and query as received.
    header_list headers; ///< Without hop-by-hop fields.
    std::shared_ptr<const std::string> body; ///< Never null.
    time_point arrivedAt {}; ///< When its first byte was read.
    bool keepAlive = true; ///< Whether the caller asked for a persistent connection.

    /** @returns the target without the query. */
    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

} // namespace bronzechute
