#include "base/ranked_mutex.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace bronzechute {

namespace {

#ifndef NDEBUG
// Ranks of the mutexes that the calling thread holds, in the order in which they were locked.
thread_local std::vector<lock_rank> heldRanks;

void checkAndRecordLock(lock_rank rank)
{
    if (!heldRanks.empty() && std::ranges::max(heldRanks) >= rank) {
        std::fprintf(stderr, "lock order violated: rank %d requested while rank %d is held\n", static_cast<int>(rank),
                     static_cast<int>(std::ranges::max(heldRanks)));
        std::abort();
    }
    heldRanks.push_back(rank);
}

void recordUnlock(lock_rank rank)
{
    const auto position = std::ranges::find(heldRanks, rank);
    if (position != heldRanks.end()) {
        heldRanks.erase(position);
    }
}
#else
void checkAndRecordLock(lock_rank)
{
}

void recordUnlock(lock_rank)
{
}
#endif

} // namespace

void ranked_mutex::lock()
{
    checkAndRecordLock(m_rank);
    m_mutex.lock();
}

bool ranked_mutex::try_lock()
{
    if (!m_mutex.try_lock()) {
        return false;
    }
    checkAndRecordLock(m_rank);
    return true;
}

void ranked_mutex::unlock()
{
    m_mutex.unlock();
    recordUnlock(m_rank);
}

} // namespace bronzechute
