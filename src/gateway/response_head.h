#pragma once

#include "http/header_list.h"

#include <string>

namespace bronzechute {

/** Status line and end-to-end header fields of a response. Hop-by-hop fields are left out. */
struct response_head
{
    int status = 0;
    std::string reason; ///< Reason phrase of the status line.
    header_list headers;
    bool endsWithConnection = false; ///< The body has neither a length nor chunks.

    friend bool operator==(const response_head &, const response_head &) = default;
};

} // namespace bronzechute
