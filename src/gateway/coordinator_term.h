#pragma once

#include "base/boot_clock.h"

#include <cstdint>

namespace bronzechute {

/** Says whether this process is the coordinator of expert maps. */
class coordinator_term
{
public:
    virtual ~coordinator_term() = default;

    /**
     * @returns a number that is higher than that of each earlier coordinator while this process is the only one for
     *          some time to come; 0 otherwise
     */
    virtual std::int64_t term(time_point now) const = 0;
};

} // namespace bronzechute
