#pragma once

#include <cstddef>
#include <sys/types.h>

namespace bronzechute {

/** Memory and descriptors of another process, from /proc. */
struct process_usage
{
    std::size_t peakBytes = 0; ///< Highest resident memory since its start.
    std::size_t descriptors = 0; ///< Open now.

    /** @returns the usage now; zeros if the process has ended. */
    static process_usage of(pid_t process);
};

/**
 * Bounds the freed memory that the address sanitizer keeps in processes that are started from now on. By default that
 * is 256 MiB and a part for each thread, which hides what the process itself holds. Without the sanitizer it has no
 * effect.
 */
void limitSanitizerQuarantine();

} // namespace bronzechute
