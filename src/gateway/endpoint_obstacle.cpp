#include "gateway/endpoint_obstacle.h"

namespace bronzechute {

const char *nameOf(endpoint_obstacle obstacle)
{
    switch (obstacle) {
    case endpoint_obstacle::not_listed:
        return "not_listed";
    case endpoint_obstacle::leaving:
        return "leaving";
    case endpoint_obstacle::data_centre_out_of_service:
        return "data_centre_out_of_service";
    case endpoint_obstacle::group_closed:
        return "group_closed";
    case endpoint_obstacle::group_refused:
        return "group_refused";
    case endpoint_obstacle::group_stalls:
        return "group_stalls";
    case endpoint_obstacle::paused:
        return "paused";
    case endpoint_obstacle::slow:
        return "slow";
    case endpoint_obstacle::cold_rate:
        return "cold_rate";
    case endpoint_obstacle::group_at_limit:
        return "group_at_limit";
    case endpoint_obstacle::no_free_slot:
        return "no_free_slot";
    case endpoint_obstacle::too_slow:
        return "too_slow";
    }
    return "";
}

} // namespace bronzechute
