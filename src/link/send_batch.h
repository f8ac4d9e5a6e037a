#pragma once

#include <memory>
#include <vector>

namespace bronzechute {

class nng_link;

/**
 * Scope guard that combines the frames that its thread sends into one write for each connection when it is destroyed.
 * Related frames then cost one write and one wake-up of the reader. Use it for short sections that do not block;
 * batches must not be nested.
 */
class send_batch
{
public:
    send_batch();

    /** Writes the deferred frames. The caller must not hold locks. */
    ~send_batch();
    send_batch(const send_batch &) = delete;
    send_batch &operator=(const send_batch &) = delete;

    /** @returns the active batch of the calling thread, or nullptr. */
    static send_batch *current();

    /** Registers a connection that has deferred frames. */
    void add(std::shared_ptr<nng_link> connection);

private:
    std::vector<std::shared_ptr<nng_link>> m_connections;
};

} // namespace bronzechute
