#pragma once

#include <string>

namespace bronzechute {

enum class severity { warning, error };

/** One finding of a check of a document or of a settings file. */
struct configuration_problem
{
    severity level = severity::error;
    std::string path; ///< Where in the document, for example "pools[2].members".
    int line = 0; ///< From 1; 0 when the document has no lines.
    std::string found; ///< What stands there.
    std::string expected; ///< What would be accepted.

    friend bool operator==(const configuration_problem &, const configuration_problem &) = default;

    /**
     * @param document name of the file or document
     * @returns "document:line: path: found …, expected …"; without a line or a path these parts are left out, and a
     *          warning has "warning:" before the path
     */
    std::string toString(const std::string &document) const;
};

} // namespace bronzechute
