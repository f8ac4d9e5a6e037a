#pragma once

#include <cstdint>

namespace bronzechute {

/** Work in flight at an endpoint. */
struct endpoint_load
{
    int requests = 0;
    std::int64_t tokens = 0; ///< That they ask for, of their prompts and responses; 0 if they are not known.

    friend bool operator==(const endpoint_load &, const endpoint_load &) = default;
};

} // namespace bronzechute
