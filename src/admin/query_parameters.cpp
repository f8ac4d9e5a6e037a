#include "admin/query_parameters.h"

#include <charconv>

namespace bronzechute {

namespace {

error invalidValue(const std::string &name, const std::string &value, const std::string &expected)
{
    return {errc::invalid_argument, "admin.query", "", name + ": found \"" + value + "\", expected " + expected};
}

} // namespace

query_parameters::query_parameters(std::string_view query)
{
    while (!query.empty()) {
        const std::string_view part = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), part.size() + 1));
        const auto equals = part.find('=');
        m_values.emplace(part.substr(0, equals), equals == std::string_view::npos ? "" : part.substr(equals + 1));
    }
}

result<std::optional<std::int64_t>> query_parameters::integer(const std::string &name) const
{
    const auto found = m_values.find(name);
    if (found == m_values.end()) {
        return std::optional<std::int64_t>();
    }
    const std::string &text = found->second;
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 0) {
        return invalidValue(name, text, "an integer from 0");
    }
    return std::optional(value);
}

result<bool> query_parameters::boolean(const std::string &name) const
{
    const auto found = m_values.find(name);
    if (found == m_values.end() || found->second == "false") {
        return false;
    }
    if (found->second != "true") {
        return invalidValue(name, found->second, "true or false");
    }
    return true;
}

} // namespace bronzechute
