#pragma once

#include "base/boot_clock.h"

#include <cstdint>
#include <string>

namespace bronzechute::standins {

/** One change in the store's history. */
struct store_change_record
{
    std::int64_t revision = 0;
    bool deleted = false;
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
    time_point at;
};

} // namespace bronzechute::standins
