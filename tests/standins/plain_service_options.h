#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace bronzechute::standins {

/** How a stand-in service behaves. */
struct plain_service_options
{
    std::uint16_t port = 0; ///< 0: the kernel chooses.
    std::chrono::microseconds work {0}; ///< Time of one request.
    std::chrono::milliseconds coldWork {20}; ///< Added to it while cold.
    std::size_t paddingBytes = 0; ///< Added to the answer of a booking.
    std::string outcome; ///< Value of X-Bronzechute-Outcome in the answer of a booking; empty: none.
    int coldRequests = 0; ///< Cold after start until so many requests are complete.
};

} // namespace bronzechute::standins
