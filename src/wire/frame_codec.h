#pragma once

#include "base/result.h"
#include "wire/frame.h"

#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/** Appends the encoded frame: a 4-byte little-endian length, then the MessagePack array [type, fields]. */
void encodeFrame(const frame &message, std::string &buffer);

/** Decodes frames from a byte stream. */
class frame_decoder
{
public:
    /**
     * @param bytes the next bytes of the stream; they need not end at a frame boundary
     * @returns the newly completed frames; errc::too_large or errc::protocol_violation if the stream is invalid
     */
    result<std::vector<frame>> feed(std::string_view bytes);

private:
    std::string m_buffer;
};

} // namespace bronzechute
