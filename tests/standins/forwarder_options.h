#pragma once

#include <cstdint>

namespace bronzechute::standins {

/** Where a forwarder listens and to which loopback port it forwards. */
struct forwarder_options
{
    std::uint16_t port = 0; ///< For connections; 0: the kernel chooses.
    std::uint16_t controlPort = 0; ///< For HTTP; 0: the kernel chooses.
    std::uint16_t targetPort = 0;
    bool frames = false; ///< The connections carry frames (wire/frame_codec.h), whose faults can be set.
};

} // namespace bronzechute::standins
