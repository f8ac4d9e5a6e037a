#pragma once

namespace bronzechute {

/** Cost of placing a request at an endpoint, by part. The unit is a full endpoint. */
struct placement_cost
{
    double utilization = 0; ///< Of the slots, with the new request.
    double extraWork = 0; ///< Beyond that of average requests, see endpoint_view::extraWork.
    double slowStreams = 0; ///< Because other endpoints send events faster.
    double memory = 0; ///< Because its memory is nearly full.
    double suspect = 0; ///< Because it has failed recently.
    double remote = 0; ///< Because it is in another data centre.

    double total() const
    {
        return utilization + extraWork + slowStreams + memory + suspect + remote;
    }

    friend bool operator==(const placement_cost &, const placement_cost &) = default;
};

} // namespace bronzechute
