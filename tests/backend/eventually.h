#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <thread>

namespace bronzechute {

/** Polls the condition for up to 20 s. @returns whether it became true. */
template<typename Condition>
bool eventually(Condition condition)
{
    constexpr auto waitTimeout = std::chrono::seconds(20);
    const time_point end = boot_clock::now() + waitTimeout;
    while (!condition()) {
        if (boot_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace bronzechute
