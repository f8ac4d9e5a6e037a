#include "tool/table_cell.h"
#include "tool/verb.h"

namespace bronzechute {

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
    context.out() << "node " << tableCell(*reply, "node") << ", role " << tableCell(*reply, "role") << ", data centre "
                  << tableCell(*reply, "data_centre") << ", revision " << tableCell(*reply, "revision")
                  << ", configuration age " << tableCell(*reply, "configuration_age_ms") << " ms\n";
    std::vector<std::vector<std::string>> rows = {
        {"ENDPOINT", "STATE", "DATA CENTRE", "IN FLIGHT", "LIMIT", "QUEUED", "COLD"}};
    for (const nlohmann::json &each : reply->value("endpoints", nlohmann::json::array())) {
        rows.push_back({tableCell(each, "name"), tableCell(each, "state"), tableCell(each, "data_centre"),
                        tableCell(each, "in_flight"), tableCell(each, "limit"), tableCell(each, "queued"),
                        tableCell(each, "cold")});
    }
    context.printTable(rows);
    return exit_code::done;
}

} // namespace bronzechute
