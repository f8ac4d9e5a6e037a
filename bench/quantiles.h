#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace bronzechute::bench {

/** Quantiles of a sample by the nearest rank. */
class quantiles
{
public:
    explicit quantiles(std::vector<double> values) : m_values(std::move(values))
    {
        std::ranges::sort(m_values);
    }

    /** @param share 0..1 @returns 0 for an empty sample. */
    double at(double share) const
    {
        if (m_values.empty()) {
            return 0;
        }
        const auto rank = static_cast<std::size_t>(share * static_cast<double>(m_values.size()));
        return m_values[std::min(rank, m_values.size() - 1)];
    }

    std::size_t count() const
    {
        return m_values.size();
    }

private:
    std::vector<double> m_values;
};

} // namespace bronzechute::bench
