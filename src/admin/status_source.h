#pragma once

#include <nlohmann/json.hpp>

namespace bronzechute {

/** Provides the status of the process and of the endpoints known to it. */
class status_source
{
public:
    virtual ~status_source() = default;

    /**
     * Must be thread-safe.
     * @returns {node, role, data_centre, revision, configuration_age_ms, endpoints: [{name, state, data_centre, labels,
     *          in_flight, limit, queued, cold}]}; labels are those in the endpoint's own settings
     */
    virtual nlohmann::json status() = 0;
};

} // namespace bronzechute
