#pragma once

#include "base/error.h"
#include "http/header_list.h"

#include <optional>
#include <string>

namespace bronzechute {

/** A whole answer, or how it failed. */
struct collected_answer
{
    int status = 0;
    header_list headers;
    std::string body;
    std::optional<error> failure;
    bool mayHaveRun = true; ///< As in answer_sink::onError().
};

} // namespace bronzechute
