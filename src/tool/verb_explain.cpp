#include "base/percent_encoding.h"
#include "tool/verb.h"

#include <array>
#include <cstdio>

namespace bronzechute {

namespace {

std::string cellOf(const nlohmann::json &value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_number_float()) {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", value.get<double>());
        return text.data();
    }
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string cellOf(const nlohmann::json &object, const char *key)
{
    return object.is_object() && object.contains(key) ? cellOf(object[key]) : "-";
}

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
    context.out() << "decision " << cellOf(reply, "decision") << ", cause " << cellOf(reply, "cause") << ", status "
                  << cellOf(reply, "status") << ", retry after " << cellOf(reply, "retry_after_ms") << " ms\n"
                  << "route " << cellOf(reply, "route") << ", account " << cellOf(reply, "account") << ", priority "
                  << cellOf(reply, "priority") << ", service " << cellOf(reply, "service") << ", tokens "
                  << cellOf(reply, "tokens") << ", time left " << cellOf(reply, "time_left_ms") << " ms\n"
                  << "queued ahead " << cellOf(reply, "ahead") << ", expected wait "
                  << cellOf(reply, "expected_wait_ms") << " ms\n";
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
        rows.push_back({cellOf(each, "id"), cellOf(each, "data_centre"), cellOf(each, "group"),
                        cellOf(each, "own_running") + "+" + cellOf(each, "peers_running"), cellOf(each, "slots"),
                        cellOf(each, "obstacle"), cellOf(each, "probability"), cellOf(cost, "total"),
                        cellOf(cost, "utilization"), cellOf(cost, "extra_work"), cellOf(cost, "slow_streams"),
                        cellOf(cost, "memory"), cellOf(cost, "suspect"), cellOf(cost, "remote")});
    }
    if (rows.size() > 1) {
        context.printTable(rows);
    }
    return exit_code::done;
}

} // namespace bronzechute
