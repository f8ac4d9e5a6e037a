#include "store/configuration_holder.h"

#include "observe/log.h"

#include <mutex>

namespace bronzechute {

configuration_holder::configuration_holder() : m_current(std::make_shared<const configuration_envelope>())
{
}

bool configuration_holder::apply(configuration_ptr envelope, const std::string &source)
{
    {
        const std::scoped_lock lock(m_mutex);
        if (envelope->revision <= m_current->revision) {
            return false;
        }
        m_current = envelope;
    }
    logLine(log_level::info, "configuration", "configuration in force",
            {{"revision", envelope->revision}, {"author", envelope->author}, {"source", source}});
    return true;
}

configuration_ptr configuration_holder::current() const
{
    const std::scoped_lock lock(m_mutex);
    return m_current;
}

} // namespace bronzechute
