#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/** Notices that the steps of a rank group have just become longer, which costs the engines nothing. */
class step_time_trend
{
public:
    /** @param latest duration of the latest step; zero when unknown. To be called at short, regular intervals. */
    void update(boot_clock::duration latest);

    /** @returns whether the latest step was much longer than those before. */
    bool hasSlowed() const
    {
        return m_slowed;
    }

private:
    boot_clock::duration m_usual {}; ///< Moving average; zero before the first step.
    bool m_slowed = false;
};

} // namespace bronzechute
