#pragma once

#include "base/error.h"
#include "http/header_list.h"

#include <optional>
#include <string>

namespace bronzechute {

/** A complete answer, or the part that arrived before a failure. */
struct collected_answer
{
    int status = 0;
    header_list headers;
    std::string body;
    std::optional<error> failure;
    bool mayHaveRun = true; ///< See answer_sink::onError().
};

} // namespace bronzechute
