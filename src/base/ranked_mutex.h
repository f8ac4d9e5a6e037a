#pragma once

#include "base/lock_rank.h"

#include <mutex>

namespace bronzechute {

/**
 * A mutex with a rank. Builds without NDEBUG abort when a thread violates the locking order that lock_rank defines.
 *
 * Meets the Lockable requirements; use std::scoped_lock or std::unique_lock, and std::condition_variable_any to wait.
 */
class ranked_mutex
{
public:
    explicit ranked_mutex(lock_rank rank) noexcept : m_rank(rank)
    {
    }

    ranked_mutex(const ranked_mutex &) = delete;
    ranked_mutex &operator=(const ranked_mutex &) = delete;

    void lock();
    bool try_lock();
    void unlock();

private:
    std::mutex m_mutex;
    const lock_rank m_rank;
};

} // namespace bronzechute
