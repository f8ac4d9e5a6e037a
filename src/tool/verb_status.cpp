#include "tool/verb.h"

namespace bronzechute {

namespace {

/** @returns the field as text for a table cell, or "-" when it is absent or null. */
std::string formatCell(const nlohmann::json &object, const char *key)
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
    context.out() << "node " << formatCell(*reply, "node") << ", role " << formatCell(*reply, "role")
                  << ", data centre " << formatCell(*reply, "data_centre") << ", revision "
                  << formatCell(*reply, "revision") << ", configuration age "
                  << formatCell(*reply, "configuration_age_ms") << " ms\n";
    std::vector<std::vector<std::string>> rows = {
        {"ENDPOINT", "STATE", "DATA CENTRE", "IN FLIGHT", "LIMIT", "QUEUED", "COLD"}};
    for (const nlohmann::json &each : reply->value("endpoints", nlohmann::json::array())) {
        rows.push_back({formatCell(each, "name"), formatCell(each, "state"), formatCell(each, "data_centre"),
                        formatCell(each, "in_flight"), formatCell(each, "limit"), formatCell(each, "queued"),
                        formatCell(each, "cold")});
    }
    context.printTable(rows);
    return exit_code::done;
}

} // namespace bronzechute
