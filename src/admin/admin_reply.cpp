#include "admin/admin_reply.h"

#include <algorithm>

namespace bronzechute {

namespace {

constexpr const char *retryAfterSeconds = "2";

} // namespace

http_reply jsonReply(int status, const nlohmann::json &body)
{
    http_reply reply;
    reply.status = status;
    reply.headers.emplace_back("Content-Type", "application/json");
    // Error messages may quote request data; replaces invalid UTF-8, for which dump() would throw by default.
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return reply;
}

http_reply errorReply(int status, const std::string &code, const std::string &message, const std::string &field)
{
    const nlohmann::json fieldValue = field.empty() ? nlohmann::json() : nlohmann::json(field);
    return jsonReply(status, {{"error", {{"code", code}, {"message", message}, {"field", fieldValue}}}});
}

http_reply errorReply(const error &failure)
{
    if (failure.code == errc::not_found) {
        return errorReply(404, "not_found", failure.toString());
    }
    if (failure.code == errc::outcome_unknown) {
        return errorReply(504, "outcome_unknown",
                          "the change may or may not be in force; read the configuration before trying again ("
                              + failure.toString() + ")");
    }
    if (failure.code == errc::too_large) {
        return errorReply(413, "too_large", failure.toString());
    }
    const bool temporary = failure.code == errc::unavailable || failure.code == errc::timed_out;
    http_reply reply =
        errorReply(temporary ? 503 : 500, temporary ? "store_unavailable" : "internal", failure.toString());
    if (temporary) {
        reply.headers.emplace_back("Retry-After", retryAfterSeconds);
    }
    return reply;
}

http_reply invalidDocumentReply(const std::vector<configuration_problem> &problems)
{
    const auto first = std::find_if(problems.begin(), problems.end(),
                                    [](const auto &problem) { return problem.level == severity::error; });
    const std::string message = first == problems.end() ? "" : first->toString("document");
    const nlohmann::json field = first == problems.end() ? nlohmann::json() : nlohmann::json(first->path);
    return jsonReply(422,
                     {{"error", {{"code", "invalid_configuration"}, {"message", message}, {"field", field}}},
                      {"problems", toJson(problems)}});
}

nlohmann::json toJson(const std::vector<configuration_problem> &problems)
{
    nlohmann::json list = nlohmann::json::array();
    for (const configuration_problem &problem : problems) {
        list.push_back({{"level", problem.level == severity::error ? "error" : "warning"},
                        {"path", problem.path},
                        {"line", problem.line},
                        {"found", problem.found},
                        {"expected", problem.expected}});
    }
    return list;
}

} // namespace bronzechute
