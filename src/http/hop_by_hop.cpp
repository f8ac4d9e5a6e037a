#include "http/hop_by_hop.h"

#include <algorithm>
#include <array>

namespace bronzechute {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade",
};

std::vector<std::string> namesInConnectionField(const header_list &headers)
{
    std::vector<std::string> names;
    for (const auto &[name, value] : headers) {
        if (!headerNamesEqual(name, "connection")) {
            continue;
        }
        std::size_t begin = 0;
        while (begin <= value.size()) {
            const std::size_t comma = std::min(value.find(',', begin), value.size());
            const std::size_t first = value.find_first_not_of(" \t", begin);
            if (first < comma) {
                const std::size_t last = value.find_last_not_of(" \t", comma - 1);
                names.push_back(value.substr(first, last - first + 1));
            }
            begin = comma + 1;
        }
    }
    return names;
}

} // namespace

header_list withoutHopByHopHeaders(const header_list &headers)
{
    const std::vector<std::string> connectionNames = namesInConnectionField(headers);
    header_list endToEndHeaders;
    for (const auto &field : headers) {
        const auto matches = [&field](std::string_view name) {
            return headerNamesEqual(field.first, name);
        };
        if (std::ranges::none_of(hopByHopNames, matches) && std::ranges::none_of(connectionNames, matches)) {
            endToEndHeaders.push_back(field);
        }
    }
    return endToEndHeaders;
}

} // namespace bronzechute
