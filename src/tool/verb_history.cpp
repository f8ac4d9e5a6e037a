#include "tool/verb.h"

namespace bronzechute {

exit_code runHistory(verb_context &context)
{
    exit_code code = exit_code::done;
    const auto reply =
        context.request("GET", "/admin/v1/history?limit=" + std::to_string(context.options().limit), "", code);
    if (!reply) {
        return code;
    }
    if (context.options().json) {
        context.printJson(*reply);
        return exit_code::done;
    }
    std::vector<std::vector<std::string>> rows = {{"REVISION", "AT", "AUTHOR", "CHANGES"}};
    for (const nlohmann::json &each : reply->value("history", nlohmann::json::array())) {
        const nlohmann::json diff = each.value("diff", nlohmann::json());
        std::string changes = diff.is_array() ? "" : "unknown";
        for (const nlohmann::json &change : diff) {
            changes += (changes.empty() ? "" : ", ") + change.value("path", "");
        }
        rows.push_back({std::to_string(each.value("revision", std::int64_t {0})), each.value("at", ""),
                        each.value("author", ""), changes});
    }
    context.printTable(rows);
    return exit_code::done;
}

} // namespace bronzechute
