#pragma once

#include "tool/exit_code.h"
#include "tool/tool_options.h"

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Runs the program bronzechute.
 * @param words the verb and its arguments, without flags
 * @returns the exit code of the process
 */
exit_code runTool(const tool_options &options, const std::vector<std::string> &words, std::istream &in,
                  std::ostream &out, std::ostream &err);

/** @returns the usage text, which lists every verb and flag. */
std::string usageText();

} // namespace bronzechute
