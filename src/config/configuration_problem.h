#pragma once

#include <string>

namespace bronzechute {

enum class severity { warning, error };

/** A problem found while validating a configuration document or a settings file. */
struct configuration_problem
{
    severity level = severity::error;
    std::string path; ///< Path of the key in the document, for example "pools[2].members".
    int line = 0; ///< Line number from 1; 0 when unknown.
    std::string found; ///< Description of the value found.
    std::string expected; ///< Description of the accepted values.

    friend bool operator==(const configuration_problem &, const configuration_problem &) = default;

    /**
     * @param document name of the file or document
     * @returns "document:line: path: found …, expected …", with "warning:" before the path of a warning; an unknown
     * line or an empty path is omitted
     */
    std::string toString(const std::string &document) const;
};

} // namespace bronzechute
