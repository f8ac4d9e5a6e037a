#pragma once

#include "config/configuration_envelope.h"

#include <string_view>
#include <unordered_map>

namespace bronzechute {

/**
 * The overrides of one configuration by the name of their endpoint. A choice among endpoints looks each of them up, so
 * a scan of the document's list would cost their number times the number of overrides for each request.
 */
class override_index
{
public:
    /** Reads the overrides of another configuration; does nothing when it is the one in use. */
    void use(const configuration_ptr &current);

    /** @returns the override of the endpoint, or null. */
    const endpoint_override *find(std::string_view endpoint) const;

private:
    configuration_ptr m_configuration; ///< Owns what the map refers to.
    std::unordered_map<std::string_view, const endpoint_override *> m_overrides;
};

} // namespace bronzechute
