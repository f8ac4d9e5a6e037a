#include "request/attempt_registry.h"

namespace bronzechute {

attempt_registry::attempt_registry(std::chrono::milliseconds retention) : m_retention(retention)
{
}

arrival attempt_registry::registerAttempt(const attempt_id &id, time_point now)
{
    expire(now);
    const auto [position, inserted] = m_attempts.try_emplace(id, phase::arrived);
    if (inserted) {
        return arrival::fresh;
    }
    return position->second == phase::cancelled ? arrival::cancelled : arrival::duplicate;
}

bool attempt_registry::start(const attempt_id &id)
{
    const auto position = m_attempts.find(id);
    if (position == m_attempts.end() || position->second != phase::arrived) {
        return false;
    }
    position->second = phase::started;
    return true;
}

bool attempt_registry::cancel(const attempt_id &id, time_point now)
{
    const auto [position, inserted] = m_attempts.try_emplace(id, phase::cancelled);
    if (inserted || position->second == phase::arrived) {
        position->second = phase::cancelled;
        m_expiries.push_back({now + m_retention, id});
        return false;
    }
    return position->second != phase::cancelled;
}

void attempt_registry::finish(const attempt_id &id, time_point now)
{
    end(id, phase::finished, now);
}

void attempt_registry::finishWithoutRun(const attempt_id &id, time_point now)
{
    end(id, phase::cancelled, now);
}

void attempt_registry::end(const attempt_id &id, phase last, time_point now)
{
    const auto position = m_attempts.find(id);
    if (position == m_attempts.end() || position->second == phase::cancelled || position->second == phase::finished) {
        return;
    }
    position->second = last;
    m_expiries.push_back({now + m_retention, id});
}

void attempt_registry::expire(time_point now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        m_attempts.erase(m_expiries.front().id);
        m_expiries.pop_front();
    }
}

} // namespace bronzechute
