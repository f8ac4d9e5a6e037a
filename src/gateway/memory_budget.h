#pragma once

#include "gateway/memory_share.h"

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace bronzechute {

/**
 * One account of all memory that is held for callers and endpoints. When it is short, holders give memory back: idle
 * connections before busy ones, the largest and slowest first. Without input or output; used from one thread.
 */
class memory_budget
{
public:
    /** Requests up to this size may also use the part that is kept for them. */
    static constexpr std::size_t smallBytes = std::size_t {128} * 1024;

    /** @param limitBytes of all shares together; a quarter of it is kept for small shares */
    explicit memory_budget(std::size_t limitBytes);

    std::size_t limit() const
    {
        return m_limit;
    }

    /** @returns the bytes of all shares. */
    std::size_t used() const
    {
        return m_used;
    }

    /** @returns whether only the part that is kept for small shares is left, so that nothing should be buffered. */
    bool isShort() const
    {
        return m_used > m_limit - m_reserve;
    }

    /** @returns whether nothing is left. */
    bool isExhausted() const
    {
        return m_used >= m_limit;
    }

    /** @returns how many holders were made to give memory back. */
    std::uint64_t givenBack() const
    {
        return m_givenBack;
    }

    /** @returns how many draws were refused. */
    std::uint64_t refused() const
    {
        return m_refused;
    }

private:
    friend class memory_share;

    void add(memory_share &share);
    void remove(memory_share &share);
    bool tryResize(memory_share &share, std::size_t bytes, time_point now);
    void resize(memory_share &share, std::size_t bytes, time_point now);

    /** Makes others give back until the bytes fit. @returns whether they fit */
    bool makeRoom(memory_share &share, std::size_t bytes, time_point now);

    /** @returns the share that gives back first, or null; the asking one counts with the bytes it asks for. */
    memory_share *firstToGiveBack(const memory_share &asking, std::size_t bytes, time_point now) const;

    const std::size_t m_limit;
    const std::size_t m_reserve;
    std::size_t m_used = 0;
    bool m_makingRoom = false;
    std::uint64_t m_givenBack = 0;
    std::uint64_t m_refused = 0;
    std::unordered_set<memory_share *> m_shares;
};

} // namespace bronzechute
