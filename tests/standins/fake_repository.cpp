#include "standins/fake_repository.h"

#include <algorithm>

namespace bronzechute {

result<configuration_envelope> fake_repository::current()
{
    const std::scoped_lock lock(m_mutex);
    if (readFault) {
        return error {*readFault, "fake.current", "", ""};
    }
    return m_accepted.empty() ? configuration_envelope() : m_accepted.back();
}

result<configuration_envelope> fake_repository::at(std::int64_t revision)
{
    const std::scoped_lock lock(m_mutex);
    if (revision < 1 || revision > static_cast<std::int64_t>(m_accepted.size())) {
        return error {errc::not_found, "fake.at", "", "revision " + std::to_string(revision)};
    }
    return m_accepted[static_cast<std::size_t>(revision - 1)];
}

result<std::vector<configuration_envelope>> fake_repository::history(std::size_t limit)
{
    const std::scoped_lock lock(m_mutex);
    std::vector<configuration_envelope> newest(m_accepted.rbegin(), m_accepted.rend());
    newest.resize(std::min(limit, newest.size()));
    return newest;
}

result<configuration_envelope> fake_repository::propose(const configuration &content, std::int64_t baseRevision,
                                                        const std::string &author)
{
    if (beforePropose) {
        beforePropose();
    }
    if (proposeFault) {
        return error {*proposeFault, "fake.propose", "", ""};
    }
    const std::scoped_lock lock(m_mutex);
    const auto revision = static_cast<std::int64_t>(m_accepted.size());
    if (revision != baseRevision) {
        return error {errc::conflict, "fake.propose", "", ""};
    }
    m_accepted.push_back({revision + 1, "", author, "2026-01-01T00:00:00Z", content});
    return m_accepted.back();
}

void fake_repository::accept(const configuration &content, const std::string &author)
{
    const std::scoped_lock lock(m_mutex);
    const auto revision = static_cast<std::int64_t>(m_accepted.size());
    m_accepted.push_back({revision + 1, "", author, "2026-01-01T00:00:00Z", content});
}

} // namespace bronzechute
