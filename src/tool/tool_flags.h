#pragma once

#include "base/result.h"
#include "tool/tool_options.h"

#include <string>
#include <vector>

namespace bronzechute {

/** A parsed command line. */
struct tool_command
{
    tool_options options;
    std::vector<std::string> words; ///< The verb and its arguments.
    bool help = false; ///< Whether the usage text was requested.
};

/**
 * Parses a command line with the syntax of gflags: --name=value, --name value, --name and --noname for booleans, and
 * "--" to end the flags. gflags stores the values in global variables, so call this function only once per process.
 * @param arguments command line without the program name
 * @returns errc::invalid_argument for an unknown flag or a malformed value
 */
result<tool_command> parseCommand(const std::vector<std::string> &arguments);

} // namespace bronzechute
