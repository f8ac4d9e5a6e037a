#include "gateway/paced_hosts.h"

namespace bronzechute {

namespace {

// More than the gateways of a fleet; datagrams with invented senders must not take more memory.
constexpr std::size_t maxPacedHosts = 1024;

} // namespace

paced_hosts::paced_hosts(boot_clock::duration interval) : m_interval(interval)
{
}

void paced_hosts::forgetDue(time_point now)
{
    std::erase_if(m_sentAt, [this, now](const auto &entry) { return now - entry.second >= m_interval; });
}

bool paced_hosts::isDue(const std::string &host, time_point now)
{
    const auto found = m_sentAt.find(host);
    if (found != m_sentAt.end()) {
        return now - found->second >= m_interval;
    }
    if (m_sentAt.size() >= maxPacedHosts) {
        forgetDue(now);
    }
    return m_sentAt.size() < maxPacedHosts;
}

void paced_hosts::note(const std::string &host, time_point now)
{
    if (m_sentAt.size() >= maxPacedHosts && !m_sentAt.contains(host)) {
        forgetDue(now);
        if (m_sentAt.size() >= maxPacedHosts) {
            return;
        }
    }
    m_sentAt[host] = now;
}

} // namespace bronzechute
