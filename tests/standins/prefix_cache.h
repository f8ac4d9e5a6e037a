#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace bronzechute::standins {

/** Remembers prefixes of prompts in blocks, least recently used blocks leave first. Not thread-safe. */
class prefix_cache
{
public:
    static constexpr std::size_t blockBytes = 64;

    /** @param capacity number of blocks */
    explicit prefix_cache(std::size_t capacity) : m_capacity(capacity)
    {
    }

    /** Adds the prompt's whole blocks. @returns how many of its leading bytes were already cached. */
    std::size_t touch(std::string_view prompt);

    /** @returns the share of the capacity in use, 0..1. */
    double usage() const;

    void clear();

private:
    const std::size_t m_capacity;
    std::list<std::uint64_t> m_order; ///< Digests of prefixes, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
};

} // namespace bronzechute::standins
