#pragma once

#include <chrono>
#include <cstdint>

namespace bronzechute::standins {

/** How the gateways of an even_load_replay select an endpoint. */
enum class even_load_rule {
    least_requests, ///< By the counts that are known, ties at random; the rule before load_forecast.
    random_pairs, ///< The less loaded of two endpoints at random.
    random_room, ///< At random, by free slots.
    own_order, ///< Each gateway goes round in an order of its own.
    told_at_once, ///< Least requests, where each placement and end reaches the others after 5 ms.
    forecast_by_count, ///< load_forecast without the sizes of requests.
    forecast, ///< load_forecast by work.
    forecast_told_at_once, ///< The same, where each placement and end reaches the others after 5 ms.
};

struct even_load_case
{
    int gateways = 4;
    std::chrono::milliseconds age {0}; ///< Mean age of what a gateway knows of the others.
    double load = 0.3; ///< Requests in flight over slots, about.
    even_load_rule rule = even_load_rule::least_requests;
    std::uint64_t seed = 1;
    double tokenWeight = 0.15; ///< Weight of tokens beside counts in the work of a request.
};

struct even_load_result
{
    double running = 0; ///< Mean requests in flight at an endpoint.
    double busiestTokens = 0; ///< Busiest endpoint over the mean: tokens in flight in 100 ms, mean of the windows.
    double busiestRequests = 0; ///< The same for requests in flight.
    double busiestWork = 0; ///< The same for the work that they are in a pass, see even_load_case::tokenWeight.
    double firstTokenP50Ms = 0;
    double firstTokenP95Ms = 0;
    double passMs = 0; ///< Mean time of a pass, which lasts as long as that of the slowest rank.
    double beyondSlots = 0; ///< Share of the requests that found no free slot at their endpoint.
};

/**
 * Replays Poisson arrivals at gateways that place on old knowledge, in simulated time: 72 endpoints of 10 slots in
 * three rank groups, whose passes take the slowest rank's time. The same case gives the same result.
 */
even_load_result replayEvenLoad(const even_load_case &each);

} // namespace bronzechute::standins
