#pragma once

#include "base/boot_clock.h"
#include "quarantine/crash_suspect.h"
#include "quarantine/endpoint_run.h"

#include <vector>

namespace bronzechute {

/** A confirmed crash of an endpoint, with the suspects that are known. Gateways see different suspects of one crash. */
struct endpoint_crash
{
    endpoint_run run;
    time_point at {};
    std::vector<crash_suspect> suspects;

    friend bool operator==(const endpoint_crash &, const endpoint_crash &) = default;
};

} // namespace bronzechute
