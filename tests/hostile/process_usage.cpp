#include "process_usage.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace bronzechute {

process_usage process_usage::of(pid_t process)
{
    constexpr std::size_t bytesPerUnit = 1024;
    const std::filesystem::path folder = "/proc/" + std::to_string(process);
    process_usage usage;
    std::ifstream status(folder / "status");
    for (std::string word; status >> word;) {
        if (word == "VmHWM:") {
            status >> usage.peakBytes;
            usage.peakBytes *= bytesPerUnit;
        }
    }
    std::error_code ended;
    const std::filesystem::directory_iterator open(folder / "fd", ended);
    if (!ended) {
        usage.descriptors = static_cast<std::size_t>(std::distance(begin(open), end(open)));
    }
    return usage;
}

void limitSanitizerQuarantine()
{
    constexpr int keepExisting = 0;
    ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1:allocator_release_to_os_interval_ms=0", keepExisting);
}

} // namespace bronzechute
