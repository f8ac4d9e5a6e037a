#include "entry/pending_table.h"

#include <mutex>

namespace bronzechute {

void pending_table::add(const std::shared_ptr<pending_request> &request)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.emplace(request->id(), request);
}

void pending_table::remove(const request_id &id)
{
    const std::scoped_lock lock(m_mutex);
    m_requests.erase(id);
}

std::shared_ptr<pending_request> pending_table::find(const request_id &id) const
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_requests.find(id);
    return position == m_requests.end() ? nullptr : position->second;
}

std::vector<std::shared_ptr<pending_request>> pending_table::all() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::shared_ptr<pending_request>> requests;
    requests.reserve(m_requests.size());
    for (const auto &[id, request] : m_requests) {
        requests.push_back(request);
    }
    return requests;
}

std::size_t pending_table::size() const
{
    const std::scoped_lock lock(m_mutex);
    return m_requests.size();
}

} // namespace bronzechute
