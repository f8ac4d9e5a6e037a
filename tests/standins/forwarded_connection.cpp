#include "standins/forwarded_connection.h"

#include <algorithm>
#include <unistd.h>

namespace bronzechute::standins {

forwarded_connection::forwarded_connection(int client, int target, std::uint64_t remaining, frame_rules *rules)
    : m_client(client)
    , m_target(target)
    , m_up(client, target, rules)
    , m_down(target, client, rules)
    , m_remaining(remaining)
{
}

forwarded_connection::~forwarded_connection()
{
    close(m_client);
    close(m_target);
}

void forwarded_connection::limit(std::uint64_t remaining)
{
    m_remaining = std::min(m_remaining, remaining);
}

void forwarded_connection::pause(bool up, bool down)
{
    m_up.setPaused(up);
    m_down.setPaused(down);
}

void forwarded_connection::addTo(std::vector<pollfd> &entries, time_point now) const
{
    const auto entry = [now](int descriptor, const forward_direction &in, const forward_direction &out) {
        const int events = (in.wantsRead() ? POLLIN : 0) | (out.wantsWrite(now) ? POLLOUT : 0);
        // poll() reports a hang-up even when no event is requested, so an idle descriptor is left out.
        return pollfd {events == 0 ? -1 : descriptor, static_cast<short>(events), 0};
    };
    if (silent()) {
        entries.push_back({-1, 0, 0});
        entries.push_back({-1, 0, 0});
        return;
    }
    entries.push_back(entry(m_client, m_up, m_down));
    entries.push_back(entry(m_target, m_down, m_up));
}

bool forwarded_connection::forward(const pollfd &client, const pollfd &target, time_point now, time_point due)
{
    if (silent()) {
        return true;
    }
    constexpr int readable = POLLIN | POLLHUP | POLLERR;
    const auto mayRead = [](const pollfd &entry, const forward_direction &direction) {
        return (entry.revents & readable) != 0 && direction.wantsRead();
    };
    if ((mayRead(client, m_up) && !m_up.read(due)) || (mayRead(target, m_down) && !m_down.read(due))) {
        return false;
    }
    if (!m_up.write(now, m_remaining) || !m_down.write(now, m_remaining)) {
        return false;
    }
    return silent() || !m_up.ended() || !m_down.ended();
}

time_point forwarded_connection::nextDue() const
{
    return silent() ? time_point::max() : std::min(m_up.nextDue(), m_down.nextDue());
}

} // namespace bronzechute::standins
