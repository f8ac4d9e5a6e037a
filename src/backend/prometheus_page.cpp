#include "backend/prometheus_page.h"

#include <algorithm>
#include <charconv>

namespace bronzechute {

namespace {

/** @returns the value, as text, of a line that is a sample of the metric; otherwise nothing. */
std::optional<std::string_view> sampleValue(std::string_view line, std::string_view metric)
{
    if (!line.starts_with(metric)) {
        return std::nullopt;
    }
    line.remove_prefix(metric.size());
    if (line.starts_with('{')) {
        // Label values are quoted and may contain a brace.
        bool quoted = false;
        std::size_t index = 1;
        for (; index < line.size() && (quoted || line[index] != '}'); ++index) {
            if (quoted && line[index] == '\\') {
                ++index;
            } else if (line[index] == '"') {
                quoted = !quoted;
            }
        }
        line.remove_prefix(std::min(index + 1, line.size()));
    }
    const std::size_t begin = line.find_first_not_of(" \t");
    if (begin == 0 || begin == std::string_view::npos) {
        return std::nullopt; // The line has a longer metric name, or no value.
    }
    line.remove_prefix(begin);
    return line.substr(0, line.find_first_of(" \t\r"));
}

template<typename Visitor>
void visitSamples(std::string_view page, std::string_view metric, Visitor visitor)
{
    while (!page.empty()) {
        const std::size_t end = std::min(page.find('\n'), page.size());
        if (const auto value = sampleValue(page.substr(0, end), metric)) {
            visitor(*value);
        }
        page.remove_prefix(std::min(end + 1, page.size()));
    }
}

} // namespace

std::optional<double> prometheus_page::sum(std::string_view metric) const
{
    std::optional<double> total;
    visitSamples(m_page, metric, [&total](std::string_view value) {
        double number = 0;
        if (std::from_chars(value.data(), value.data() + value.size(), number).ec == std::errc()) {
            total = total.value_or(0) + number;
        }
    });
    return total;
}

std::optional<std::string> prometheus_page::text(std::string_view metric) const
{
    std::optional<std::string> first;
    visitSamples(m_page, metric, [&first](std::string_view value) {
        if (!first) {
            first = std::string(value);
        }
    });
    return first;
}

} // namespace bronzechute
