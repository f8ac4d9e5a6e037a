#pragma once

#include <cstdint>

namespace bronzechute {

/** Bytes of an answer that may be under way or waiting for a slow caller. */
constexpr std::uint32_t answerWindowBytes = 256 * 1024;

/** Credit is sent after this many bytes, so that it costs few frames and the window never closes on a fast caller. */
constexpr std::uint32_t creditBytes = answerWindowBytes / 4;

} // namespace bronzechute
