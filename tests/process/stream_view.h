#pragma once

#include "standins/fetch_request.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace bronzechute::standins {

/** What a caller sees of a stream: ids, text, finish reasons, usage. */
struct stream_view
{
    explicit stream_view(const std::string &body);

    std::set<std::string> ids;
    std::string text;
    std::vector<std::string> finishReasons;
    std::vector<nlohmann::json> usages;
};

} // namespace bronzechute::standins
