#pragma once

#include "base/boot_clock.h"

#include <cstddef>

namespace bronzechute {

class memory_budget;
class memory_holder;

/** What the memory of a share is used for, which decides in which order holders give it back. */
enum class memory_use {
    idle, ///< A connection without a request.
    busy, ///< A request that is received, or an answer that its caller does not read: may be refused or closed.
    kept, ///< Work that may have begun to run: is never asked to give memory back.
};

/** Memory that one holder has drawn from a memory_budget; returned by the destructor. */
class memory_share
{
public:
    /** The budget and the holder must outlive the share. @param holder null if the use is always "kept" */
    memory_share(memory_budget &budget, memory_holder *holder);
    ~memory_share();
    memory_share(const memory_share &) = delete;
    memory_share &operator=(const memory_share &) = delete;

    /** @param since begin of this use; what takes long gives its memory back first */
    void setUse(memory_use use, time_point since);

    /**
     * Draws memory that is not in use yet, or returns some. Other holders may be made to give theirs back.
     * @param bytes of the whole share
     * @returns false, and draws nothing, if this share is itself the one that should give back, or nobody can
     */
    bool tryResize(std::size_t bytes, time_point now);

    /** Counts memory that is already in use. Other holders may be made to give theirs back. */
    void resize(std::size_t bytes, time_point now);

    /** @returns whether the size differs by enough to be counted; each event of a stream changes it a little. */
    bool isOutdated(std::size_t bytes) const;

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    friend class memory_budget;

    memory_budget &m_budget;
    memory_holder *const m_holder;
    memory_use m_use = memory_use::kept;
    time_point m_since {};
    std::size_t m_bytes = 0;
};

} // namespace bronzechute
