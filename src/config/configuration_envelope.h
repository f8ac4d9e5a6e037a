#pragma once

#include "config/configuration.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bronzechute {

/** An accepted configuration as the store keeps it. */
struct configuration_envelope
{
    std::int64_t revision = 0; ///< Rises by one with each accepted change; 0 means none was accepted yet.
    std::string mark; ///< Random 128-bit value, 32 hexadecimal digits, that tells one's own write from another's.
    std::string author; ///< Team that made the change.
    std::string at; ///< Time of the change, RFC 3339, UTC. For people only.
    configuration content;

    friend bool operator==(const configuration_envelope &, const configuration_envelope &) = default;
};

using configuration_ptr = std::shared_ptr<const configuration_envelope>;

} // namespace bronzechute
