#include "store/configuration_holder.h"

#include <mutex>

namespace bronzechute {

bool configuration_holder::apply(configuration_envelope envelope, configuration_source source)
{
    const std::scoped_lock applyLock(m_applyMutex);
    if (envelope.revision <= current()->revision) {
        return false;
    }
    const auto published = std::make_shared<const configuration_envelope>(std::move(envelope));
    {
        const std::scoped_lock lock(m_mutex);
        m_current = published;
        m_source = source;
        m_appliedAt = boot_clock::now();
    }
    for (const auto &[id, onApplied] : m_subscribers) {
        onApplied(published);
    }
    return true;
}

configuration_ptr configuration_holder::current() const
{
    const std::scoped_lock lock(m_mutex);
    return m_current;
}

configuration_source configuration_holder::source() const
{
    const std::scoped_lock lock(m_mutex);
    return m_source;
}

time_point configuration_holder::appliedAt() const
{
    const std::scoped_lock lock(m_mutex);
    return m_appliedAt;
}

int configuration_holder::subscribe(subscriber onApplied)
{
    const std::scoped_lock lock(m_applyMutex);
    m_subscribers.emplace(++m_lastSubscriptionId, std::move(onApplied));
    return m_lastSubscriptionId;
}

void configuration_holder::unsubscribe(int id)
{
    const std::scoped_lock lock(m_applyMutex);
    m_subscribers.erase(id);
}

} // namespace bronzechute
