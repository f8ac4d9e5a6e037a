#pragma once

#include <cstdint>

namespace bronzechute {

/** Size of the send window: bytes of an answer in transit or buffered for a slow caller. */
constexpr std::uint32_t answerWindowBytes = 256 * 1024;

/** Number of relayed bytes per credit frame; large enough for few frames, small enough to keep the window open for a
 * fast caller. */
constexpr std::uint32_t creditIntervalBytes = answerWindowBytes / 4;

} // namespace bronzechute
