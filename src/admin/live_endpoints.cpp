#include "admin/live_endpoints.h"

#include <algorithm>

namespace bronzechute {

namespace {

std::string textAt(const nlohmann::json &object, const char *key)
{
    return object.is_object() && object.contains(key) && object[key].is_string() ? object[key].get<std::string>() : "";
}

label_set labelsOf(const nlohmann::json &endpoint)
{
    label_set labels;
    if (endpoint.contains("labels") && endpoint["labels"].is_object()) {
        for (const auto &[key, value] : endpoint["labels"].items()) {
            if (value.is_string()) {
                labels.emplace(key, value.get<std::string>());
            }
        }
    }
    return labels;
}

} // namespace

live_endpoints::live_endpoints(const nlohmann::json &status)
{
    m_dataCentres.insert(textAt(status, "data_centre"));
    if (status.is_object() && status.contains("endpoints") && status["endpoints"].is_array()) {
        for (const nlohmann::json &endpoint : status["endpoints"]) {
            if (const std::string name = textAt(endpoint, "name"); !name.empty()) {
                m_labels[name] = labelsOf(endpoint);
                m_dataCentres.insert(textAt(endpoint, "data_centre"));
            }
        }
    }
    m_dataCentres.erase("");
}

std::vector<configuration_problem> live_endpoints::emptyPools(const configuration &content) const
{
    std::vector<configuration_problem> warnings;
    for (std::size_t index = 0; index < content.pools.size() && !m_labels.empty(); ++index) {
        const endpoint_pool &pool = content.pools[index];
        const bool any = std::any_of(m_labels.begin(), m_labels.end(), [&](const auto &endpoint) {
            return pool.members.matches(content.effectiveLabels(endpoint.first, endpoint.second));
        });
        if (!any) {
            warnings.push_back({severity::warning, "pools[" + std::to_string(index) + "].members", 0,
                                "\"" + pool.members.text() + "\", which matches no live endpoint",
                                "a selector that matches the labels of at least one"});
        }
    }
    return warnings;
}

} // namespace bronzechute
