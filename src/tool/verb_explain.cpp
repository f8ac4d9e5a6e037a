#include "base/percent_encoding.h"
#include "tool/table_cell.h"
#include "tool/verb.h"

namespace bronzechute {

namespace {

std::string queryOf(const std::vector<std::string> &arguments)
{
    std::string query = "target=" + percentEncode(arguments.front());
    for (std::size_t index = 1; index < arguments.size(); ++index) {
        query += "&field=" + percentEncode(arguments[index]);
    }
    return query;
}

void printDecision(verb_context &context, const nlohmann::json &reply)
{
    context.out() << "decision " << tableCell(reply, "decision") << ", cause " << tableCell(reply, "cause")
                  << ", status " << tableCell(reply, "status") << ", retry after " << tableCell(reply, "retry_after_ms")
                  << " ms\n"
                  << "route " << tableCell(reply, "route") << ", account " << tableCell(reply, "account")
                  << ", priority " << tableCell(reply, "priority") << ", service " << tableCell(reply, "service")
                  << ", tokens " << tableCell(reply, "tokens") << ", time left " << tableCell(reply, "time_left_ms")
                  << " ms\n"
                  << "queued ahead " << tableCell(reply, "ahead") << ", expected wait "
                  << tableCell(reply, "expected_wait_ms") << " ms\n";
}

} // namespace

exit_code runExplain(verb_context &context)
{
    exit_code code = exit_code::done;
    const auto reply = context.request("GET", "/explain?" + queryOf(context.arguments()), "", code);
    if (!reply) {
        return code;
    }
    if (context.options().json) {
        context.printJson(*reply);
        return exit_code::done;
    }
    printDecision(context, *reply);
    std::vector<std::vector<std::string>> rows = {{"ENDPOINT", "DATA CENTRE", "GROUP", "RUNNING", "SLOTS", "OBSTACLE",
                                                   "PROBABILITY", "COST", "UTILIZATION", "EXTRA WORK", "SLOW STREAMS",
                                                   "MEMORY", "SUSPECT", "REMOTE"}};
    for (const nlohmann::json &each : reply->value("endpoints", nlohmann::json::array())) {
        const nlohmann::json cost = each.value("cost", nlohmann::json::object());
        rows.push_back({tableCell(each, "id"), tableCell(each, "data_centre"), tableCell(each, "group"),
                        tableCell(each, "own_running") + "+" + tableCell(each, "peers_running"),
                        tableCell(each, "slots"), tableCell(each, "obstacle"), tableCell(each, "probability"),
                        tableCell(cost, "total"), tableCell(cost, "utilization"), tableCell(cost, "extra_work"),
                        tableCell(cost, "slow_streams"), tableCell(cost, "memory"), tableCell(cost, "suspect"),
                        tableCell(cost, "remote")});
    }
    if (rows.size() > 1) {
        context.printTable(rows);
    }
    return exit_code::done;
}

} // namespace bronzechute
