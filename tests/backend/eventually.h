#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <thread>

namespace bronzechute {

/** Waits with a generous deadline. @returns whether the condition came to hold. */
template<typename Condition>
bool eventually(Condition condition)
{
    constexpr auto patience = std::chrono::seconds(20);
    const time_point end = boot_clock::now() + patience;
    while (!condition()) {
        if (boot_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace bronzechute
