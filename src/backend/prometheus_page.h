#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/** Reads metrics from a page in the Prometheus text format. Holds a view, so the page must outlive this object. */
class prometheus_page
{
public:
    explicit prometheus_page(std::string_view page) : m_page(page)
    {
    }

    /** @returns the sum of a metric's samples over all label sets; nothing when there is no sample. */
    std::optional<double> sum(std::string_view metric) const;

    /** @returns the value of the metric's first sample as text; nothing when there is no sample. */
    std::optional<std::string> text(std::string_view metric) const;

private:
    std::string_view m_page;
};

} // namespace bronzechute
