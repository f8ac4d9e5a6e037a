#pragma once

#include "config/configuration.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bronzechute {

/** An accepted configuration with its revision and origin, as kept in the store. */
struct configuration_envelope
{
    std::int64_t revision = 0; ///< Increases by one with each accepted change; 0 before the first one.
    std::string writeId; ///< Random 128-bit identifier, 32 hexadecimal digits, by which a process recognises its own
                         ///< write; stored as "mark".
    std::string author; ///< Team that made the change.
    std::string at; ///< Time of the change in RFC 3339, UTC; informational only.
    configuration content;

    friend bool operator==(const configuration_envelope &, const configuration_envelope &) = default;
};

using configuration_ptr = std::shared_ptr<const configuration_envelope>;

} // namespace bronzechute
