#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>
#include <fstream>
#include <string>
#include <sys/types.h>
#include <unistd.h>

namespace bronzechute::bench {

/** Processor time and resident memory of a process at one moment; zeros when it does not exist. */
struct process_usage
{
    std::chrono::nanoseconds processorTime {0};
    std::uint64_t residentBytes = 0;

    static process_usage of(pid_t pid)
    {
        process_usage usage;
        clockid_t clock = 0;
        timespec reading {};
        if (clock_getcpuclockid(pid, &clock) == 0 && clock_gettime(clock, &reading) == 0) {
            usage.processorTime = std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
        }
        std::ifstream pages("/proc/" + std::to_string(pid) + "/statm");
        std::uint64_t total = 0;
        std::uint64_t resident = 0;
        if (pages >> total >> resident) {
            usage.residentBytes = resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
        }
        return usage;
    }
};

} // namespace bronzechute::bench
