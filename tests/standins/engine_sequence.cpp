#include "standins/engine_sequence.h"

#include <mutex>

namespace bronzechute::standins {

bool engine_sequence::addToken()
{
    const std::scoped_lock lock(m_mutex);
    if (first + m_added < last) {
        ++m_added;
    }
    m_stopped = m_stopped || first + m_added >= last;
    m_changed.notify_all();
    return m_stopped;
}

void engine_sequence::stop()
{
    const std::scoped_lock lock(m_mutex);
    m_stopped = true;
    m_changed.notify_all();
}

engine_sequence::progress engine_sequence::waitBeyond(std::size_t seen)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_stopped || first + m_added > seen; });
    return {first + m_added, m_stopped};
}

engine_sequence::progress engine_sequence::waitForEnd()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_stopped; });
    return {first + m_added, m_stopped};
}

} // namespace bronzechute::standins
