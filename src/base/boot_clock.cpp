#include "base/boot_clock.h"

#include <ctime>

namespace bronzechute {

time_point boot_clock::now() noexcept
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

std::int64_t clockMilliseconds(time_point reading)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(reading.time_since_epoch()).count();
}

} // namespace bronzechute
