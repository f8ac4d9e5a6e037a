#pragma once

#include "base/boot_clock.h"

#include <cstdint>

namespace bronzechute {

/** Tells whether this process is the elected coordinator of expert maps. */
class coordinator_term
{
public:
    virtual ~coordinator_term() = default;

    /**
     * @returns the fencing token of this process while it holds an unexpired lease, higher than that of any earlier
     *          coordinator; 0 while it is not the coordinator
     */
    virtual std::int64_t term(time_point now) const = 0;
};

} // namespace bronzechute
