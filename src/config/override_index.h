#pragma once

#include "config/configuration_envelope.h"

#include <string_view>
#include <unordered_map>

namespace bronzechute {

/**
 * Index of a configuration's overrides by endpoint name. Selecting an endpoint looks up every candidate, so scanning
 * the list of overrides would cost candidates times overrides for each request.
 */
class override_index
{
public:
    /** Rebuilds the index for the configuration unless it is already the indexed one. */
    void use(const configuration_ptr &current);

    /** @returns the override of the endpoint, or null. */
    const endpoint_override *find(std::string_view endpoint) const;

private:
    configuration_ptr m_configuration; ///< Owns the objects that m_overrides refers to.
    std::unordered_map<std::string_view, const endpoint_override *> m_overrides;
};

} // namespace bronzechute
