#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** How a request ended at the engine. */
enum class answer_outcome { answered, failed, cancelled };

/** Measurements of one finished request at the endpoint process. */
struct answer_sample
{
    answer_outcome outcome = answer_outcome::answered;
    boot_clock::duration firstToken {}; ///< From the start at the engine to the first byte of the response.
    boot_clock::duration service {}; ///< From the start at the engine to the end of the response.
    int tokens = 0; ///< Tokens or stream events of the response; 0 or 1 for a plain service.
};

} // namespace bronzechute
