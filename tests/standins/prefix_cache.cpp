#include "standins/prefix_cache.h"

#include <xxhash.h>

namespace bronzechute::standins {

std::size_t prefix_cache::touch(std::string_view prompt)
{
    std::size_t cached = 0;
    bool prefixCached = true;
    for (std::size_t end = blockBytes; end <= prompt.size(); end += blockBytes) {
        const std::uint64_t digest = XXH3_64bits(prompt.data(), end);
        const auto found = m_blocks.find(digest);
        if (found != m_blocks.end()) {
            cached = prefixCached ? end : cached;
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        prefixCached = false;
        m_order.push_front(digest);
        m_blocks.emplace(digest, m_order.begin());
        if (m_blocks.size() > m_capacity) {
            m_blocks.erase(m_order.back());
            m_order.pop_back();
        }
    }
    return cached;
}

double prefix_cache::usage() const
{
    return m_capacity == 0 ? 0 : static_cast<double>(m_blocks.size()) / static_cast<double>(m_capacity);
}

void prefix_cache::clear()
{
    m_order.clear();
    m_blocks.clear();
}

} // namespace bronzechute::standins
