#pragma once

#include <cstddef>

namespace bronzechute {

/** A service that gateway_drain ends. Called in the event loop, in the order of the functions. */
class drained_service
{
public:
    virtual ~drained_service() = default;

    /** Closes idle connections and begins no work of its own any more. */
    virtual void beginDrain() = 0;

    /** Stops listening. What callers send from now on is refused. */
    virtual void stopTaking() = 0;

    /** @returns the number of requests and other work in progress. */
    virtual std::size_t inProgress() = 0;

    /** Ends the requests that are still in progress, and tells their callers. */
    virtual void endRequests() = 0;
};

} // namespace bronzechute
