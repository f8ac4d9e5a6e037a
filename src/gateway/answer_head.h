#pragma once

#include "http/header_list.h"

#include <string>

namespace bronzechute {

/** Status and header fields of an answer, without those of one connection only. */
struct answer_head
{
    int status = 0;
    std::string reason; ///< Text of the status line.
    header_list headers;

    friend bool operator==(const answer_head &, const answer_head &) = default;
};

} // namespace bronzechute
