#pragma once

#include <cstddef>

namespace bronzechute {

/** Limits the number of parts in one message. */
class part_budget
{
public:
    explicit part_budget(std::size_t limit) : m_left(limit)
    {
    }

    /** Takes nothing and returns false if not so many parts are left. */
    bool take(std::size_t parts)
    {
        if (parts > m_left) {
            return false;
        }
        m_left -= parts;
        return true;
    }

    std::size_t left() const
    {
        return m_left;
    }

private:
    std::size_t m_left;
};

} // namespace bronzechute
