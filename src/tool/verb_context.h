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

/** Gives a verb access to its options and arguments, to the server and to the streams, with shared output functions. */
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

    /**
     * Writes "bronzechute: MESSAGE" to the error stream.
     * @returns @p code, so that callers can return the result of this call
     */
    exit_code fail(exit_code code, const std::string &message);

    /**
     * Reads a file, or the input stream when the path is "-".
     * @returns the content, or std::nullopt after a reported error
     */
    std::optional<std::string> readDocument(const std::string &path);

    /**
     * Sends a request and reports errors.
     * @param code set to the exit code when the request fails
     * @returns the JSON body, or std::nullopt after a reported error
     */
    std::optional<nlohmann::json> request(const std::string &method, const std::string &target, const std::string &body,
                                          exit_code &code);

    /** Sends a configuration change, as a dry run if so requested, and prints its outcome. */
    exit_code change(const std::string &method, const std::string &target, const std::string &body);

    void printJson(const nlohmann::json &value);

    /** Prints changes, given as an array of objects {path, old, new}, one per line. */
    static void printChanges(const nlohmann::json &diff, std::ostream &stream);

    /** Prints rows as aligned columns. */
    void printTable(const std::vector<std::vector<std::string>> &rows);

    /**
     * Writes the problems to the error stream.
     * @param document name of the document, printed before each problem
     * @returns whether any problem has severity error
     */
    bool printProblems(const std::vector<configuration_problem> &problems, const std::string &document);

private:
    exit_code reportErrorResponse(const admin_response &response, const nlohmann::json &body);

    const tool_options &m_options;
    std::vector<std::string> m_arguments;
    admin_client m_client;
    std::istream &m_in;
    std::ostream &m_out;
    std::ostream &m_err;
    bool m_warned = false; ///< Whether the warning of the server was printed; it is printed once.
};

} // namespace bronzechute
