#include "policy/prefix_index.h"

#include <algorithm>
#include <xxhash.h>

namespace bronzechute {

prefix_index::prefix_index(std::size_t capacity) : m_capacity(std::max<std::size_t>(1, capacity))
{
}

std::vector<std::uint64_t> prefix_index::chain(std::string_view prompt, std::size_t blockBytes, std::size_t maxBlocks)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    while (blockBytes > 0 && prompt.size() >= blockBytes && hashes.size() < maxBlocks) {
        previous = XXH3_64bits_withSeed(prompt.data(), blockBytes, previous);
        hashes.push_back(previous);
        prompt.remove_prefix(blockBytes);
    }
    return hashes;
}

void prefix_index::record(std::span<const std::uint64_t> chain, std::uint64_t endpoint)
{
    // In reverse order, so that the first blocks, which more prompts share, become the most recently used.
    for (auto hash = chain.rbegin(); hash != chain.rend(); ++hash) {
        const auto found = m_blocks.find(*hash);
        if (found != m_blocks.end()) {
            m_lruBlocks.splice(m_lruBlocks.end(), m_lruBlocks, found->second);
        } else {
            if (m_blocks.size() >= m_capacity) {
                m_blocks.erase(m_lruBlocks.front().hash);
                m_lruBlocks.pop_front();
            }
            m_lruBlocks.push_back({*hash, {}});
            m_blocks.emplace(*hash, std::prev(m_lruBlocks.end()));
        }
        std::vector<std::uint64_t> &endpoints = m_lruBlocks.back().endpoints;
        std::erase(endpoints, endpoint);
        if (endpoints.size() >= endpointsPerBlock) {
            endpoints.erase(endpoints.begin());
        }
        endpoints.push_back(endpoint);
    }
}

std::vector<prefix_match> prefix_index::find(std::span<const std::uint64_t> chain) const
{
    std::vector<prefix_match> matches;
    for (std::size_t depth = chain.size(); depth > 0; --depth) {
        const auto found = m_blocks.find(chain[depth - 1]);
        if (found == m_blocks.end()) {
            continue;
        }
        const std::vector<std::uint64_t> &endpoints = found->second->endpoints;
        for (auto endpoint = endpoints.rbegin(); endpoint != endpoints.rend(); ++endpoint) {
            const bool known = std::any_of(matches.begin(), matches.end(),
                                           [&](const prefix_match &each) { return each.endpoint == *endpoint; });
            if (!known) {
                matches.push_back({*endpoint, static_cast<double>(depth) / static_cast<double>(chain.size())});
            }
        }
    }
    return matches;
}

void prefix_index::forget(std::uint64_t endpoint)
{
    for (auto each = m_lruBlocks.begin(); each != m_lruBlocks.end();) {
        std::erase(each->endpoints, endpoint);
        if (each->endpoints.empty()) {
            m_blocks.erase(each->hash);
            each = m_lruBlocks.erase(each);
        } else {
            ++each;
        }
    }
}

} // namespace bronzechute
