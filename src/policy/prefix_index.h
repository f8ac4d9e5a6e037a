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
    std::uint64_t endpoint = 0; ///< Result of hashName() for the endpoint's name.
    double share = 0; ///< Share of the prompt's blocks that match from its start; 0..1.

    friend bool operator==(const prefix_match &, const prefix_match &) = default;
};

/**
 * Index of the endpoints that recently served a prompt prefix, in bounded memory: the least recently used blocks are
 * evicted, and for each block only the most recent endpoints are kept.
 */
class prefix_index
{
public:
    static constexpr std::size_t endpointsPerBlock = 4;

    /** @param capacity maximum number of blocks, of about 120 bytes each */
    explicit prefix_index(std::size_t capacity = 65536);

    /**
     * Computes the hash chain of a prompt.
     *
     * @param blockBytes length of a block; a remainder that does not fill a block is ignored
     * @param maxBlocks maximum number of blocks to hash
     * @returns for each block, a hash of the prompt from its start to the end of the block
     */
    static std::vector<std::uint64_t> chain(std::string_view prompt, std::size_t blockBytes = 256,
                                            std::size_t maxBlocks = 64);

    /** Records that the endpoint has served a prompt with this hash chain. */
    void record(std::span<const std::uint64_t> chain, std::uint64_t endpoint);

    /** @returns the endpoints that have served a prefix of the chain, longest match first. */
    std::vector<prefix_match> find(std::span<const std::uint64_t> chain) const;

    /** Removes the endpoint, which has lost its cache. */
    void forget(std::uint64_t endpoint);

    std::size_t size() const
    {
        return m_blocks.size();
    }

private:
    struct block
    {
        std::uint64_t hash = 0;
        std::vector<std::uint64_t> endpoints; ///< Hashed names, most recent last.
    };

    const std::size_t m_capacity;
    std::list<block> m_lruBlocks; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<block>::iterator> m_blocks;
};

} // namespace bronzechute
