#pragma once

#include "balance/stream_demand.h"
#include "gateway/gateway_endpoint.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace bronzechute {

/** Why the dispatcher refused a request. */
enum class refusal {
    no_endpoint, ///< No endpoint of the service accepts requests.
    wait_too_long, ///< The expected wait exceeds what is of use to the caller.
    cannot_complete, ///< The streams of all usable endpoints are so slow that this one would miss its deadline.
    queue_timeout, ///< It was queued until its latest start had passed.
    shutting_down, ///< The process ends.
};

/** @returns the name of a refusal as the log lines of requests have it. */
const char *nameOf(refusal reason);

/**
 * A request submitted to the dispatcher. Exactly one of onPlaced() and onRefused() is called, possibly before
 * request_dispatcher::submit() returns.
 */
class placement_client
{
public:
    virtual ~placement_client() = default;

    /** The request occupies a slot of the endpoint until request_dispatcher::release(). */
    virtual void onPlaced(const gateway_endpoint_ptr &endpoint) = 0;

    /** @param expectedWait estimated time in the queue; zero if unknown */
    virtual void onRefused(refusal reason, boot_clock::duration expectedWait) = 0;

    /** @returns the ids of endpoints that were tried already and must not be chosen again. */
    virtual std::span<const std::string> tried() const = 0;

    /** @returns the tokens that the request asks for, of its prompt and its response; 0 if they are not known. */
    virtual std::int64_t tokens() const
    {
        return 0;
    }

    /** @returns what the stream needs; nothing if its length is not known or it is no stream. */
    virtual std::optional<stream_demand> demand() const = 0;
};

} // namespace bronzechute
