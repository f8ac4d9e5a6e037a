#pragma once

#include "base/boot_clock.h"

#include <cstdint>
#include <string>

namespace bronzechute {

/** Entry of the platform's endpoint directory, which describes one run of an endpoint process. */
struct endpoint_record
{
    std::string id; ///< Unique among the endpoints that are listed at the same time.
    std::int64_t startedAtMs = 0; ///< Unix time of its start; distinguishes restarts under the same id. 0: not given.
    std::string service;
    std::string address; ///< "IP:PORT".
    std::string dataCentre;
    int slots = 1; ///< Maximum number of concurrent requests.
    bool leaving = false; ///< Draining: it finishes its running requests and accepts no new ones.
    std::chrono::milliseconds coldRemaining {0}; ///< Remaining cold-start time when the entry was reported.

    friend bool operator==(const endpoint_record &, const endpoint_record &) = default;
};

} // namespace bronzechute
