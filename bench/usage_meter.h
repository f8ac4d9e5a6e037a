#pragma once

#include "process_usage.h"

#include <ctime>
#include <malloc.h>
#include <unistd.h>

namespace bronzechute::bench {

/** Readings of this process. */
struct usage_meter
{
    static double seconds(clockid_t clock)
    {
        timespec reading {};
        clock_gettime(clock, &reading);
        return static_cast<double>(reading.tv_sec) + static_cast<double>(reading.tv_nsec) / 1e9;
    }

    static double processorSeconds()
    {
        return seconds(CLOCK_PROCESS_CPUTIME_ID);
    }

    static double residentBytes()
    {
        return static_cast<double>(process_usage::of(getpid()).residentBytes);
    }

    /** Bytes that the program holds from the allocator, so that its free lists do not count. */
    static double allocatedBytes()
    {
        const auto info = mallinfo2();
        return static_cast<double>(info.uordblks + info.hblkhd);
    }

    /** @returns processor seconds of this process for one of `rounds` runs of the function. */
    template<typename F>
    static double timeOf(int rounds, F &&run)
    {
        const double begin = processorSeconds();
        for (int round = 0; round < rounds; ++round) {
            run();
        }
        return (processorSeconds() - begin) / rounds;
    }
};

} // namespace bronzechute::bench
