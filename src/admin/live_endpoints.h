#pragma once

#include "config/configuration.h"
#include "config/configuration_problem.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** The endpoints with their labels, and the data centres, that appear in a status document. */
class live_endpoints
{
public:
    /** @param status as returned by status_source; missing or malformed parts are ignored */
    explicit live_endpoints(const nlohmann::json &status);

    bool hasEndpoint(const std::string &name) const
    {
        return m_labels.contains(name);
    }

    bool hasDataCentre(const std::string &name) const
    {
        return m_dataCentres.contains(name);
    }

    /** @returns a warning for each pool whose members match no live endpoint; no warnings if no endpoint is live. */
    std::vector<configuration_problem> emptyPools(const configuration &content) const;

private:
    std::map<std::string, label_set> m_labels;
    std::set<std::string> m_dataCentres;
};

} // namespace bronzechute
