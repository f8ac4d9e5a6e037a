#include "base/process_memory.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace bronzechute {

namespace {

constexpr int largeBlockBytes = 128 * 1024;
constexpr int arenas = 2;
constexpr std::size_t usualDescriptors = 1024;

} // namespace

std::size_t machineMemory()
{
    return static_cast<std::size_t>(std::max(0L, sysconf(_SC_PHYS_PAGES)))
        * static_cast<std::size_t>(std::max(0L, sysconf(_SC_PAGESIZE)));
}

std::size_t descriptorLimit()
{
    rlimit limit {};
    return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur) : usualDescriptors;
}

void keepFreedMemorySmall()
{
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, largeBlockBytes);
    mallopt(M_ARENA_MAX, arenas);
}

void returnFreedMemory()
{
    malloc_trim(0);
}

} // namespace bronzechute
