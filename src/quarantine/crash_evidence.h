#pragma once

#include "base/boot_clock.h"
#include "quarantine/endpoint_crash.h"
#include "quarantine/quarantined_part.h"

#include <map>
#include <string>
#include <vector>

namespace bronzechute {

/** What a gateway knows about crashes and their causes, as it tells the others. */
struct crash_evidence
{
    std::vector<endpoint_crash> crashes;
    std::map<std::string, time_point> answers; ///< Last end of an answer, of suspected parts.
    std::vector<quarantined_part> quarantined;
    std::map<std::string, time_point> beginnings; ///< Last time that an answer came beyond its beginning.

    bool empty() const
    {
        return crashes.empty() && answers.empty() && quarantined.empty() && beginnings.empty();
    }

    friend bool operator==(const crash_evidence &, const crash_evidence &) = default;
};

} // namespace bronzechute
