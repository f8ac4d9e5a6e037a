#pragma once

namespace bronzechute {

/** Holds memory that a memory_budget counts, and can give it back. */
class memory_holder
{
public:
    virtual ~memory_holder() = default;

    /**
     * Gives the memory back at once, by refusing the request that is being received or by closing the connection. Its
     * memory_share is smaller when the call returns. Must not call into other holders.
     */
    virtual void giveBackMemory() = 0;
};

} // namespace bronzechute
