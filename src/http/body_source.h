#pragma once

#include <cstddef>
#include <sys/types.h>

namespace bronzechute {

/** Produces the body of a streamed answer. Called from the connection's own thread, which may block. */
class body_source
{
public:
    static constexpr ssize_t endOfBody = -1; ///< The answer is whole.
    static constexpr ssize_t broken = -2; ///< The answer is cut: the client must see an incomplete transfer.

    virtual ~body_source() = default;

    /**
     * Blocks until there are bytes.
     * @param buffer where to write
     * @param capacity size of the buffer in bytes
     * @returns the number of bytes written (at least 1), endOfBody or broken
     */
    virtual ssize_t read(char *buffer, std::size_t capacity) = 0;

    /** Called once when the connection is done with the answer, whole or not, also when the client left early. */
    virtual void onClosed() = 0;
};

} // namespace bronzechute
