#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** How the engine ended a request. */
enum class answer_outcome { answered, failed, cancelled };

/** Measurements of one finished request at the endpoint process. */
struct answer_sample
{
    answer_outcome outcome = answer_outcome::answered;
    boot_clock::duration firstToken {}; ///< From start at the engine to the first byte of the answer.
    boot_clock::duration service {}; ///< From start at the engine to the end.
    int tokens = 0; ///< Tokens or stream events of the answer; 0 or 1 for a plain service.
};

} // namespace bronzechute
