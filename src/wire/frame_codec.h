#pragma once

#include "base/result.h"
#include "wire/frame.h"

#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** Appends the frame to the buffer: four bytes of length, little-endian, then a msgpack array [type, fields]. */
void encodeFrame(const frame &message, std::string &buffer);

/** Cuts a stream of bytes into frames. */
class frame_decoder
{
public:
    /**
     * @param bytes the next bytes of the stream, cut anywhere
     * @returns the frames that are complete now; errc::too_large or errc::protocol_violation when the stream is broken
     */
    result<std::vector<frame>> feed(std::string_view bytes);

private:
    std::string m_buffer;
};

} // namespace bronzechute
