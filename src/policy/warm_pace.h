#pragma once

namespace bronzechute {

/**
 * Speed of a warm engine. Token streams and calls are measured separately, because the duration of a call depends on
 * its length and says nothing about the time between tokens.
 */
struct warm_pace
{
    double tokenSeconds = 0; ///< Time between the tokens of a stream; 0: unknown.
    double callSeconds = 0; ///< Duration of a call whose response is not streamed; 0: unknown.

    friend bool operator==(const warm_pace &, const warm_pace &) = default;
};

} // namespace bronzechute
