#pragma once

#include "routing/endpoint_record.h"
#include "routing/routing_table.h"

#include <memory>
#include <string>

namespace bronzechute {

/** Is told what a routing_source learns. Calls come from any thread. */
class routing_observer
{
public:
    virtual ~routing_observer() = default;

    /** A version was read; it may be older than one reported before. */
    virtual void onRouting(std::shared_ptr<const routing_table> table) = 0;

    /** An endpoint is listed, or its record changed. */
    virtual void onEndpoint(const endpoint_record &record) = 0;

    /**
     * An endpoint is no longer listed.
     * @param afterOutage whether the directory was out of reach until just before, so that the entry may have lapsed
     *                    although the endpoint lives
     */
    virtual void onEndpointGone(const std::string &id, bool afterOutage) = 0;

    /** Operators took a data centre out of service, or returned it. */
    virtual void onDataCentre(const std::string &name, bool inService) = 0;

    /** All endpoints that were listed when the source started have been reported. */
    virtual void onListed() = 0;
};

} // namespace bronzechute
