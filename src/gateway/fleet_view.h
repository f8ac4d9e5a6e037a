#pragma once

#include "balance/queue_summary.h"
#include "base/boot_clock.h"

#include <string>
#include <vector>

namespace bronzechute {

/** What a gateway knows of all gateways together. Used from the thread of the event loop. */
class fleet_view
{
public:
    virtual ~fleet_view() = default;

    /** @returns the host of this gateway. */
    virtual std::string self() const = 0;

    /**
     * @returns the hosts of all gateways that share limits, in ascending order, this one included. A gateway that has
     * fallen silent is still included for a while, as it may only be unreachable from here
     */
    virtual std::vector<std::string> members(time_point now) const = 0;

    /** @returns whether the gateway has run long enough to know the others. */
    virtual bool isDiscovered(time_point now) const = 0;

    /** @returns the sum of what the other gateways have reported on the queue of a service. */
    virtual queue_summary othersQueues(const std::string &service, time_point now) const = 0;
};

} // namespace bronzechute
