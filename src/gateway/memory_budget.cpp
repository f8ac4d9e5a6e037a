#include "gateway/memory_budget.h"

#include "gateway/memory_holder.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr std::size_t reserveDivisor = 4;
// Added to the age of a use, so that of two that have just begun the larger one comes first.
constexpr double minAgeSeconds = 0.01;

} // namespace

memory_budget::memory_budget(std::size_t limitBytes) : m_limit(limitBytes), m_reserve(limitBytes / reserveDivisor)
{
}

void memory_budget::add(memory_share &share)
{
    m_shares.insert(&share);
}

void memory_budget::remove(memory_share &share)
{
    m_used -= share.m_bytes;
    m_shares.erase(&share);
}

bool memory_budget::tryResize(memory_share &share, std::size_t bytes, time_point now)
{
    if (bytes > share.m_bytes && !makeRoom(share, bytes, now)) {
        ++m_refused;
        return false;
    }
    m_used = m_used - share.m_bytes + bytes;
    share.m_bytes = bytes;
    return true;
}

void memory_budget::resize(memory_share &share, std::size_t bytes, time_point now)
{
    if (bytes > share.m_bytes) {
        makeRoom(share, bytes, now); // The bytes are in use in any case.
    }
    m_used = m_used - share.m_bytes + bytes;
    share.m_bytes = bytes;
}

bool memory_budget::makeRoom(memory_share &share, std::size_t bytes, time_point now)
{
    const std::size_t allowed = bytes <= smallBytes ? m_limit : m_limit - m_reserve;
    while (m_used - share.m_bytes + bytes > allowed) {
        if (m_makingRoom) {
            return false; // Called by a holder that gives memory back.
        }
        memory_share *first = firstToGiveBack(share, bytes, now);
        if (first == nullptr || first == &share) {
            return false;
        }
        const std::size_t before = first->m_bytes;
        ++m_givenBack;
        m_makingRoom = true;
        first->m_holder->giveBackMemory(); // May destroy the share.
        m_makingRoom = false;
        if (m_shares.contains(first) && first->m_bytes >= before) {
            return false; // It cannot be made smaller; asking again would not end.
        }
    }
    return true;
}

memory_share *memory_budget::firstToGiveBack(const memory_share &asking, std::size_t bytes, time_point now) const
{
    memory_share *first = nullptr;
    bool firstIsIdle = false;
    double highest = 0;
    for (memory_share *each : m_shares) {
        const std::size_t held = each == &asking ? bytes : each->m_bytes;
        if (each->m_use == memory_use::kept || held == 0) {
            continue;
        }
        const bool isIdle = each->m_use == memory_use::idle;
        const double age = std::max(0.0, std::chrono::duration<double>(now - each->m_since).count()) + minAgeSeconds;
        const double weight = static_cast<double>(held) * age;
        if (first == nullptr || (isIdle && !firstIsIdle) || (isIdle == firstIsIdle && weight > highest)) {
            first = each;
            firstIsIdle = isIdle;
            highest = weight;
        }
    }
    return first;
}

} // namespace bronzechute
