#include "config/override_index.h"

namespace bronzechute {

void override_index::use(const configuration_ptr &current)
{
    if (current == m_configuration) {
        return;
    }
    m_configuration = current;
    m_overrides.clear();
    for (const endpoint_override &each : m_configuration->content.endpoints) {
        m_overrides.emplace(each.name, &each);
    }
}

const endpoint_override *override_index::find(std::string_view endpoint) const
{
    const auto found = m_overrides.find(endpoint);
    return found == m_overrides.end() ? nullptr : found->second;
}

} // namespace bronzechute
