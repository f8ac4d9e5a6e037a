#pragma once

#include "base/boot_clock.h"

#include <cstdint>
#include <string>

namespace bronzechute {

/** One start of an endpoint as the platform's directory lists it. */
struct endpoint_record
{
    std::string id; ///< Unique among the endpoints that are listed at the same time.
    std::int64_t startedAtMs = 0; ///< Unix time of its start; tells two starts under one id apart. 0: not given.
    std::string service;
    std::string address; ///< "IP:PORT".
    std::string dataCentre;
    int slots = 1; ///< Requests that run at the same time.
    bool leaving = false; ///< It finishes what it has and takes nothing new.
    std::chrono::milliseconds coldRemaining {0}; ///< At the time of the report.

    friend bool operator==(const endpoint_record &, const endpoint_record &) = default;
};

} // namespace bronzechute
