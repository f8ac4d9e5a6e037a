#pragma once

#include <memory>
#include <vector>

namespace bronzechute {

class nng_link;

/**
 * While one exists, the frames that its thread sends wait until it ends and then leave in one write for each
 * connection. Frames that belong together thus cost one write and one wake-up of the reader. For short sections that do
 * not block; not nested.
 */
class send_batch
{
public:
    send_batch();

    /** Writes what has waited. The caller holds no locks. */
    ~send_batch();
    send_batch(const send_batch &) = delete;
    send_batch &operator=(const send_batch &) = delete;

    /** @returns the batch of the calling thread, or nullptr. */
    static send_batch *current();

    /** Remembers a connection whose frames wait. */
    void add(std::shared_ptr<nng_link> connection);

private:
    std::vector<std::shared_ptr<nng_link>> m_connections;
};

} // namespace bronzechute
