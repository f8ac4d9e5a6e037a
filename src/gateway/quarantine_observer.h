#pragma once

#include "quarantine/quarantined_part.h"

#include <span>
#include <string>

namespace bronzechute {

/** A request at an endpoint, which must be given up when one of its prompt parts is quarantined. */
class quarantine_observer
{
public:
    virtual ~quarantine_observer() = default;

    /** @returns the ids of its prompt parts. */
    virtual std::span<const std::string> promptParts() const = 0;

    /** Called from the event loop, never from within another call of the request. */
    virtual void onQuarantined(const quarantined_part &entry) = 0;
};

} // namespace bronzechute
