#pragma once

namespace bronzechute {

/** What an answer_assembler did with a frame. */
enum class frame_verdict {
    accepted, ///< The frame was next in order; bytes may be ready.
    buffered, ///< The frame came too early and waits for the ones before it.
    duplicate, ///< The frame was seen before and is dropped.
    stale_attempt, ///< The frame belongs to an earlier attempt and is dropped.
    foreign, ///< The frame belongs to another request and is dropped.
    overflow, ///< More bytes wait than the window allows: the peer violates the protocol.
    corrupt, ///< Count, length or digest at the end differ from what arrived.
};

} // namespace bronzechute
