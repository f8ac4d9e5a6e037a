#pragma once

#include "routing/endpoint_record.h"
#include "routing/routing_table.h"

#include <memory>
#include <string>

namespace bronzechute {

/** Receives the updates of a routing_source. Its functions are called from any thread. */
class routing_observer
{
public:
    virtual ~routing_observer() = default;

    /** Reports a version of the routing configuration. It may be older than one that was reported before. */
    virtual void onRouting(std::shared_ptr<const routing_table> table) = 0;

    /** Reports a new or changed entry of the endpoint directory. */
    virtual void onEndpoint(const endpoint_record &record) = 0;

    /** Reports that the endpoint with this id is no longer in the directory. */
    virtual void onEndpointGone(const std::string &id) = 0;

    /** Reports that operators took a data centre out of service, or put it back into service. */
    virtual void onDataCentre(const std::string &name, bool inService) = 0;

    /** Reports that all endpoints that were in the directory when the source started have been reported. */
    virtual void onInitialListComplete() = 0;
};

} // namespace bronzechute
