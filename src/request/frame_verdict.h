#pragma once

namespace bronzechute {

/** Result of passing a frame to an answer_assembler. */
enum class frame_verdict {
    accepted, ///< The frame is valid and the next in order.
    buffered, ///< The frame arrived early and is buffered until the frames before it arrive.
    duplicate, ///< The frame was received before and is dropped.
    stale_attempt, ///< The frame belongs to an earlier attempt and is dropped.
    foreign, ///< The frame belongs to another request and is dropped.
    overflow, ///< More bytes are buffered than the window allows, which violates the protocol.
    corrupt, ///< Frame count, length or digest of the end frame differ from the received data.
};

} // namespace bronzechute
