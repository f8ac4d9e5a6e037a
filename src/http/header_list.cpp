#include "http/header_list.h"

#include <algorithm>
#include <cctype>

namespace bronzechute {

bool headerNamesEqual(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right,
                              [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::optional<std::string> findHeader(const header_list &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (headerNamesEqual(key, name)) {
            return value;
        }
    }
    return std::nullopt;
}

std::string joinedHeaders(const header_list &headers, std::string_view name)
{
    std::string joined;
    bool isFirst = true;
    for (const auto &[key, value] : headers) {
        if (!headerNamesEqual(key, name)) {
            continue;
        }
        joined += isFirst ? value : "," + value;
        isFirst = false;
    }
    return joined;
}

void removeHeader(header_list &headers, std::string_view name)
{
    std::erase_if(headers, [name](const auto &field) { return headerNamesEqual(field.first, name); });
}

void replaceHeader(header_list &headers, const std::string &name, const std::string &value)
{
    removeHeader(headers, name);
    headers.emplace_back(name, value);
}

} // namespace bronzechute
