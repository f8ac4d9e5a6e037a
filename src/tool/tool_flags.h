#pragma once

#include "base/result.h"
#include "tool/tool_options.h"

#include <string>
#include <vector>

namespace bronzechute {

/** A command line split into flags and words. */
struct tool_command
{
    tool_options options;
    std::vector<std::string> words; ///< The verb and its arguments.
    bool help = false;
};

/**
 * Reads flags of gflags: --name=value, --name value, --name and --noname for booleans, and "--" before words only.
 * The flags themselves are global, so call it once a process.
 * @param arguments without the program's name
 * @returns errc::invalid_argument for an unknown flag or a malformed value
 */
result<tool_command> parseCommand(const std::vector<std::string> &arguments);

} // namespace bronzechute
