#pragma once

#include <cstddef>
#include <sys/types.h>

namespace bronzechute {

/** Produces the body of a streamed HTTP response. Called on the connection's own thread, which may block. */
class body_source
{
public:
    static constexpr ssize_t endOfBody = -1; ///< The body is complete.
    static constexpr ssize_t broken = -2; ///< The body is truncated: the server aborts the transfer.

    virtual ~body_source() = default;

    /**
     * Blocks until body bytes are available.
     * @param buffer receives the bytes
     * @param capacity size of the buffer in bytes
     * @returns the number of bytes written (at least 1), endOfBody or broken
     */
    virtual ssize_t read(char *buffer, std::size_t capacity) = 0;

    /** Called once when the transfer has ended: completed, truncated, or closed early by the client. */
    virtual void onClosed() = 0;
};

} // namespace bronzechute
