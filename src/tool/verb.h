#pragma once

#include "tool/exit_code.h"
#include "tool/verb_context.h"

#include <cstddef>
#include <vector>

namespace bronzechute {

/** Describes a verb (subcommand) of the program bronzechute. */
struct verb
{
    const char *name;
    const char *arguments; ///< Arguments as shown in the usage text.
    const char *summary; ///< One-line description for the usage text.
    std::size_t minArguments;
    std::size_t maxArguments;
    exit_code (*run)(verb_context &context);
};

/** @returns all verbs in the order of the usage text. */
const std::vector<verb> &verbs();

exit_code runApply(verb_context &context);
exit_code runCheck(verb_context &context);
exit_code runDiff(verb_context &context);
exit_code runDrain(verb_context &context);
exit_code runExplain(verb_context &context);
exit_code runGet(verb_context &context);
exit_code runHistory(verb_context &context);
exit_code runLabel(verb_context &context);
exit_code runRollback(verb_context &context);
exit_code runStatus(verb_context &context);
exit_code runUndrain(verb_context &context);

} // namespace bronzechute
