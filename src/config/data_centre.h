#pragma once

#include <string>

namespace bronzechute {

/** A data centre and whether it accepts new work. */
struct data_centre
{
    std::string name;
    bool inService = true;

    friend bool operator==(const data_centre &, const data_centre &) = default;
};

} // namespace bronzechute
