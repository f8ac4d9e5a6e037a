#pragma once

#include <chrono>
#include <cstdint>

namespace bronzechute::standins {

/** Faults that a forwarder shows at present. */
struct forwarder_settings
{
    std::chrono::milliseconds delay {0}; ///< Time each byte is held.
    bool pauseUp = false; ///< Bytes from clients are held until it is unset.
    bool pauseDown = false; ///< Bytes to clients are held until it is unset.
    bool refuseNew = false; ///< New connections are closed at once.
    bool silenceNew = false; ///< New connections are accepted and stay silent.
    std::uint64_t nextLimit = 0; ///< Bytes after which each of the next connections goes silent.
    int nextConnections = 0; ///< How many of them.
};

} // namespace bronzechute::standins
