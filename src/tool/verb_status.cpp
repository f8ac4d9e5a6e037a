#include "tool/verb.h"

namespace bronzechute {

namespace {

std::string cell(const nlohmann::json &object, const char *key)
{
    if (!object.is_object() || !object.contains(key) || object[key].is_null()) {
        return "-";
    }
    return object[key].is_string() ? object[key].get<std::string>() : object[key].dump();
}

} // namespace

exit_code runStatus(verb_context &context)
{
    exit_code code = exit_code::done;
    const auto reply = context.request("GET", "/admin/v1/status", "", code);
    if (!reply) {
        return code;
    }
    if (context.options().json) {
        context.printJson(*reply);
        return exit_code::done;
    }
    context.out() << "node " << cell(*reply, "node") << ", role " << cell(*reply, "role") << ", data centre "
                  << cell(*reply, "data_centre") << ", revision " << cell(*reply, "revision") << ", configuration age "
                  << cell(*reply, "configuration_age_ms") << " ms\n";
    std::vector<std::vector<std::string>> rows = {
        {"ENDPOINT", "STATE", "DATA CENTRE", "IN FLIGHT", "LIMIT", "QUEUED", "COLD"}};
    for (const nlohmann::json &each : reply->value("endpoints", nlohmann::json::array())) {
        rows.push_back({cell(each, "name"), cell(each, "state"), cell(each, "data_centre"), cell(each, "in_flight"),
                        cell(each, "limit"), cell(each, "queued"), cell(each, "cold")});
    }
    context.printTable(rows);
    return exit_code::done;
}

} // namespace bronzechute
