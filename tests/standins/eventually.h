#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <thread>

namespace bronzechute::standins {

/** Polls a condition. @returns whether it held within the timeout. */
template<typename Condition>
bool eventually(Condition condition, std::chrono::milliseconds timeout = std::chrono::seconds(20))
{
    const time_point end = boot_clock::now() + timeout;
    while (!condition()) {
        if (boot_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace bronzechute::standins
