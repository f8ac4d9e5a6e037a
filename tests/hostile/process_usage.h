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

} // namespace bronzechute
