#pragma once

#include "tool/exit_code.h"
#include "tool/verb_context.h"

#include <cstddef>
#include <vector>

namespace bronzechute {

/** A verb of the program bronzechute. */
struct verb
{
    const char *name;
    const char *arguments; ///< For the usage line.
    const char *summary;
    std::size_t fewestArguments;
    std::size_t mostArguments;
    exit_code (*run)(verb_context &context);
};

/** @returns every verb, in the order of the usage text. */
const std::vector<verb> &verbs();

exit_code runApply(verb_context &context);
exit_code runCheck(verb_context &context);
exit_code runDiff(verb_context &context);
exit_code runDrain(verb_context &context);
exit_code runGet(verb_context &context);
exit_code runHistory(verb_context &context);
exit_code runLabel(verb_context &context);
exit_code runRollback(verb_context &context);
exit_code runStatus(verb_context &context);
exit_code runUndrain(verb_context &context);

} // namespace bronzechute
