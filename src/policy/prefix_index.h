#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzechute {

/** How much of a prompt an endpoint has probably cached. */
struct prefix_match
{
    std::uint64_t endpoint = 0; ///< hashName() of the endpoint.
    double share = 0; ///< Blocks from the start of the prompt, over all its blocks; 0..1.

    friend bool operator==(const prefix_match &, const prefix_match &) = default;
};

/**
 * Remembers which endpoints recently served a prompt prefix, in bounded memory: the least recently used blocks are
 * forgotten, and of each block only the most recent few endpoints are kept.
 */
class prefix_index
{
public:
    static constexpr std::size_t endpointsPerBlock = 4;

    /** @param capacity blocks to remember, about 120 bytes each. */
    explicit prefix_index(std::size_t capacity = 65536);

    /**
     * @param blockBytes length of a block; a rest that does not fill a block is ignored
     * @param most blocks to hash at most
     * @returns for each block, a hash of the prompt from its start to the end of the block.
     */
    static std::vector<std::uint64_t> chain(std::string_view prompt, std::size_t blockBytes = 256,
                                            std::size_t most = 64);

    /** The endpoint has served the prompt with this chain. */
    void record(std::span<const std::uint64_t> chain, std::uint64_t endpoint);

    /** @returns the endpoints that have served a prefix of the chain, those with the longest first. */
    std::vector<prefix_match> find(std::span<const std::uint64_t> chain) const;

    /** The endpoint lost its cache. */
    void forget(std::uint64_t endpoint);

    std::size_t size() const
    {
        return m_blocks.size();
    }

private:
    struct block
    {
        std::uint64_t hash = 0;
        std::vector<std::uint64_t> endpoints; ///< Most recent last.
    };

    const std::size_t m_capacity;
    std::list<block> m_order; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<block>::iterator> m_blocks;
};

} // namespace bronzechute
