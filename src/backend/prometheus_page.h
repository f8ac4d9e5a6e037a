#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** Reads single metrics from a page in the Prometheus text format. Keeps a view: the page must outlive it. */
class prometheus_page
{
public:
    explicit prometheus_page(std::string_view page) : m_page(page)
    {
    }

    /** @returns the sum of a metric's samples over all label sets; nothing when it has none. */
    std::optional<double> sum(std::string_view metric) const;

    /** @returns the first sample's value as written; nothing when the metric has none. */
    std::optional<std::string> text(std::string_view metric) const;

private:
    std::string_view m_page;
};

} // namespace bronzechute
