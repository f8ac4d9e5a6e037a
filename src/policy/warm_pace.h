#pragma once

namespace bronzechute {

/**
 * Speed of a warm engine. Token streams and calls are measured apart, because a call's time depends on its length and
 * says nothing about the time between tokens.
 */
struct warm_pace
{
    double tokenSeconds = 0; ///< Time between tokens of a stream; 0: unknown.
    double callSeconds = 0; ///< Time of a call that is answered as a whole; 0: unknown.

    friend bool operator==(const warm_pace &, const warm_pace &) = default;
};

} // namespace bronzechute
