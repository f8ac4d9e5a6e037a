#include "backend/transfer_queue.h"

#include <mutex>
#include <utility>

namespace bronzechute {

bool transfer_queue::push(transfer_command command)
{
    const std::scoped_lock lock(m_mutex);
    if (m_multi == nullptr) {
        return false;
    }
    m_commands.push_back(std::move(command));
    if (m_commands.size() == 1) {
        curl_multi_wakeup(m_multi);
    }
    return true;
}

std::vector<transfer_command> transfer_queue::take()
{
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_commands, {});
}

void transfer_queue::requestStop()
{
    const std::scoped_lock lock(m_mutex);
    m_stop = true;
    if (m_multi != nullptr) {
        curl_multi_wakeup(m_multi);
    }
}

bool transfer_queue::stopRequested()
{
    const std::scoped_lock lock(m_mutex);
    return m_stop;
}

std::vector<transfer_command> transfer_queue::close()
{
    const std::scoped_lock lock(m_mutex);
    m_multi = nullptr;
    return std::exchange(m_commands, {});
}

} // namespace bronzechute
