#include "stream_view.h"

#include "backend/sse_parser.h"

namespace bronzechute::standins {

stream_view::stream_view(const std::string &body)
{
    sse_parser parser;
    for (const sse_event &event : parser.feed(body)) {
        const auto json = nlohmann::json::parse(event.data, nullptr, false);
        if (!json.is_object()) {
            continue;
        }
        ids.insert(json.value("id", ""));
        if (json.contains("usage")) {
            usages.push_back(json["usage"]);
        }
        if (!json.contains("choices") || json["choices"].empty()) {
            continue;
        }
        const nlohmann::json &choice = json["choices"][0];
        text += choice.contains("delta") ? choice["delta"].value("content", "") : choice.value("text", "");
        if (choice["finish_reason"].is_string()) {
            finishReasons.push_back(choice["finish_reason"]);
        }
    }
}

} // namespace bronzechute::standins
