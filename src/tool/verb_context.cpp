#include "tool/verb_context.h"

#include "config/configuration_change.h"
#include "settings/daemon_settings.h"

#include <algorithm>
#include <iterator>

namespace bronzechute {

namespace {

exit_code exitCodeForStatus(int status)
{
    switch (status) {
    case 400:
    case 422:
        return exit_code::invalid_input;
    case 409:
        return exit_code::conflict;
    case 504:
        return exit_code::unknown;
    default:
        return exit_code::failed;
    }
}

std::string stringField(const nlohmann::json &object, const char *key)
{
    return object.is_object() && object.contains(key) && object[key].is_string() ? object[key].get<std::string>() : "";
}

} // namespace

verb_context::verb_context(const tool_options &options, std::vector<std::string> arguments, std::string key,
                           std::istream &in, std::ostream &out, std::ostream &err)
    : m_options(options)
    , m_arguments(std::move(arguments))
    , m_client(options.server, std::move(key), options.timeout)
    , m_in(in)
    , m_out(out)
    , m_err(err)
{
}

exit_code verb_context::fail(exit_code code, const std::string &message)
{
    m_err << "bronzechute: " << message << "\n";
    return code;
}

std::optional<std::string> verb_context::readDocument(const std::string &path)
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(m_in), std::istreambuf_iterator<char>());
    }
    auto text = readTextFile(path);
    if (!text) {
        fail(exit_code::invalid_input, path + ": " + text.error().detail);
        return std::nullopt;
    }
    return text.value();
}

std::optional<nlohmann::json> verb_context::request(const std::string &method, const std::string &target,
                                                    const std::string &body, exit_code &code)
{
    const auto response = m_client.send(method, target, body);
    if (!response) {
        const bool unknown = response.error().code == errc::outcome_unknown;
        code = fail(unknown ? exit_code::unknown : exit_code::unreachable,
                    m_options.server + ": " + response.error().detail);
        return std::nullopt;
    }
    if (!response.value().warning.empty() && !m_warned) {
        m_err << "bronzechute: warning: " << response.value().warning << "\n";
        m_warned = true;
    }
    auto json = nlohmann::json::parse(response.value().body, nullptr, false);
    if (response.value().status != 200) {
        code = reportErrorResponse(response.value(), json);
        return std::nullopt;
    }
    if (!json.is_object()) {
        // A response that does not come from the API leaves it unknown whether a change was made.
        code = fail(method == "GET" ? exit_code::failed : exit_code::unknown,
                    m_options.server + ": the answer is not JSON; check --server");
        return std::nullopt;
    }
    return json;
}

exit_code verb_context::reportErrorResponse(const admin_response &response, const nlohmann::json &body)
{
    const exit_code code = exitCodeForStatus(response.status);
    if (!body.is_object() || !body.contains("error")) {
        return fail(exit_code::failed,
                    m_options.server + ": HTTP status " + std::to_string(response.status) + "; check --server");
    }
    const std::string field = stringField(body["error"], "field");
    fail(code, (field.empty() ? "" : field + ": ") + stringField(body["error"], "message"));
    if (body.contains("current") && body["current"].contains("diff")) {
        printChanges(body["current"]["diff"], m_err);
    }
    if (m_options.json) {
        printJson(body);
    }
    return code;
}

exit_code verb_context::change(const std::string &method, const std::string &target, const std::string &body)
{
    exit_code code = exit_code::done;
    const std::string parameter = target.find('?') == std::string::npos ? "?dry_run=true" : "&dry_run=true";
    const auto reply = request(method, target + (m_options.dryRun ? parameter : ""), body, code);
    if (!reply) {
        return code;
    }
    if (m_options.json) {
        printJson(*reply);
        return exit_code::done;
    }
    const nlohmann::json diff = reply->value("diff", nlohmann::json::array());
    for (const nlohmann::json &problem : reply->value("problems", nlohmann::json::array())) {
        m_err << "bronzechute: warning: " << stringField(problem, "path") << ": found " << stringField(problem, "found")
              << ", expected " << stringField(problem, "expected") << "\n";
    }
    printChanges(diff, m_out);
    const std::string revision = std::to_string(reply->value("revision", std::int64_t {0}));
    m_out << (diff.empty()           ? "no change; revision " + revision + " stays in force"
                  : m_options.dryRun ? "dry run; revision " + revision + " stays in force"
                                     : "revision " + revision + " is in force")
          << "\n";
    return exit_code::done;
}

void verb_context::printJson(const nlohmann::json &value)
{
    m_out << value.dump(2) << "\n";
}

void verb_context::printChanges(const nlohmann::json &diff, std::ostream &stream)
{
    if (!diff.is_array()) {
        return;
    }
    for (const nlohmann::json &each : diff) {
        configuration_change change;
        change.path = stringField(each, "path");
        change.before = each.value("old", nlohmann::json());
        change.after = each.value("new", nlohmann::json());
        stream << change.toString() << "\n";
    }
}

void verb_context::printTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool last = column + 1 == row.size();
            m_out << row[column] << std::string(last ? 0 : widths[column] + 2 - row[column].size(), ' ');
        }
        m_out << "\n";
    }
}

bool verb_context::printProblems(const std::vector<configuration_problem> &problems, const std::string &document)
{
    for (const configuration_problem &problem : problems) {
        m_err << problem.toString(document) << "\n";
    }
    return std::any_of(problems.begin(), problems.end(),
                       [](const auto &problem) { return problem.level == severity::error; });
}

} // namespace bronzechute
