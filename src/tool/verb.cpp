#include "tool/verb.h"

namespace bronzechute {

const std::vector<verb> &verbs()
{
    static const std::vector<verb> table = {
        {"apply", "FILE", "replace the configuration", 1, 1, runApply},
        {"get", "[REVISION]", "print a configuration", 0, 1, runGet},
        {"diff", "FILE | OLD NEW", "compare a file with the configuration in force, or two revisions", 1, 2, runDiff},
        {"history", "", "list accepted changes", 0, 0, runHistory},
        {"rollback", "REVISION", "put an earlier configuration in force again", 1, 1, runRollback},
        {"label", "NAME KEY=VALUE… KEY-…", "set and remove labels of an endpoint", 2, 1000, runLabel},
        {"drain", "data_centre|endpoint NAME", "send no new work to it", 2, 2, runDrain},
        {"undrain", "data_centre|endpoint NAME", "send new work to it again", 2, 2, runUndrain},
        {"explain", "PATH [NAME:VALUE…]",
         "show where a gateway would send a request with these header fields now, and why", 1, 100, runExplain},
        {"status", "", "show the node that answers and its endpoints", 0, 0, runStatus},
        {"check", "FILE", "check a configuration or, with --settings, a settings file offline", 1, 1, runCheck},
    };
    return table;
}

} // namespace bronzechute
