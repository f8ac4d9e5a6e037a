#pragma once

#include "config/configuration_problem.h"
#include "tool/admin_client.h"
#include "tool/exit_code.h"
#include "tool/tool_options.h"

#include <nlohmann/json.hpp>

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace bronzechute {

/** What a verb works with: flags, arguments, the server and the streams; and the output that verbs share. */
class verb_context
{
public:
    verb_context(const tool_options &options, std::vector<std::string> arguments, std::string key, std::istream &in,
                 std::ostream &out, std::ostream &err);

    const tool_options &options() const
    {
        return m_options;
    }

    const std::vector<std::string> &arguments() const
    {
        return m_arguments;
    }

    std::ostream &out()
    {
        return m_out;
    }

    /** Writes "bronzechute: MESSAGE". @returns the code, for the caller to return. */
    exit_code fail(exit_code code, const std::string &message);

    /** Reads a file, or standard input for "-"; reports a failure. */
    std::optional<std::string> readDocument(const std::string &path);

    /**
     * Sends a request and reports a refusal.
     * @param code set to the exit code of a refusal
     * @returns the JSON body, or nothing after a refusal
     */
    std::optional<nlohmann::json> request(const std::string &method, const std::string &target, const std::string &body,
                                          exit_code &code);

    /** Sends a change and reports its outcome. */
    exit_code change(const std::string &method, const std::string &target, const std::string &body);

    void printJson(const nlohmann::json &value);

    /** Prints changes {path, old, new}, one a line. */
    static void printChanges(const nlohmann::json &diff, std::ostream &stream);

    /** Prints columns that are as wide as their widest cell. */
    void printTable(const std::vector<std::vector<std::string>> &rows);

    /** @returns whether there is a problem of severity error. */
    bool printProblems(const std::vector<configuration_problem> &problems, const std::string &document);

private:
    exit_code reportRefusal(const admin_response &response, const nlohmann::json &body);

    const tool_options &m_options;
    std::vector<std::string> m_arguments;
    admin_client m_client;
    std::istream &m_in;
    std::ostream &m_out;
    std::ostream &m_err;
    bool m_warned = false;
};

} // namespace bronzechute
