#include "quarantine/likeliest_parts.h"

#include <algorithm>
#include <numeric>

namespace bronzechute {

std::vector<std::string> likeliestParts(const std::vector<std::string> &parts, std::size_t room,
                                        const last_answer &lastAnswer)
{
    if (parts.size() <= room) {
        return parts;
    }
    std::vector<time_point> answeredAt;
    answeredAt.reserve(parts.size());
    for (const std::string &part : parts) {
        answeredAt.push_back(lastAnswer(part).value_or(time_point::min()));
    }
    std::vector<std::size_t> chosen(parts.size());
    std::iota(chosen.rbegin(), chosen.rend(), std::size_t {0}); // Later parts first, as the sort keeps their order.
    std::ranges::stable_sort(chosen, {}, [&](std::size_t index) { return answeredAt[index]; });
    chosen.resize(room);
    std::ranges::sort(chosen);
    std::vector<std::string> likeliest;
    likeliest.reserve(room);
    for (const std::size_t index : chosen) {
        likeliest.push_back(parts[index]);
    }
    return likeliest;
}

} // namespace bronzechute
