#pragma once

#include <nlohmann/json.hpp>

namespace bronzechute {

/** What the process knows about itself and the endpoints. */
class status_source
{
public:
    virtual ~status_source() = default;

    /**
     * Called from any thread.
     * @returns {node, role, data_centre, revision, configuration_age_ms, endpoints: [{name, state, data_centre, labels,
     *          in_flight, limit, queued, cold}]}; labels are those of the endpoint's own settings
     */
    virtual nlohmann::json status() = 0;
};

} // namespace bronzechute
