#pragma once

#include "gateway/gateway_endpoint.h"

#include <span>
#include <string>

namespace bronzechute {

/** Why the dispatcher gave a request up. */
enum class refusal {
    no_endpoint, ///< No endpoint of the service takes work.
    line_too_long, ///< The expected wait is longer than the caller can use.
    waited_too_long, ///< It waited until a start was of no use any more.
};

/** A request that asks the dispatcher for an endpoint. Exactly one of the two calls follows, possibly at once. */
class placement_client
{
public:
    virtual ~placement_client() = default;

    /** The endpoint counts one more request under way until request_dispatcher::release(). */
    virtual void onPlaced(const gateway_endpoint_ptr &endpoint) = 0;

    /** @param expectedWait of the line; zero when unknown */
    virtual void onRefused(refusal reason, boot_clock::duration expectedWait) = 0;

    /** @returns ids of the endpoints that it must not get again. */
    virtual std::span<const std::string> tried() const = 0;
};

} // namespace bronzechute
