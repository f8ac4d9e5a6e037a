#include "admin/admin_reply.h"
#include "config/configuration_parser.h"
#include "settings/daemon_settings.h"
#include "tool/verb.h"

namespace bronzechute {

exit_code runCheck(verb_context &context)
{
    const std::string &path = context.arguments().front();
    const auto text = context.readDocument(path);
    if (!text) {
        return exit_code::invalid_input;
    }
    const std::vector<configuration_problem> problems =
        context.options().settings ? parseSettings(*text).problems : parseConfiguration(*text).problems;
    const bool valid = !context.printProblems(problems, path);
    if (context.options().json) {
        context.printJson({{"valid", valid}, {"problems", toJson(problems)}});
    } else if (valid) {
        context.out() << path << ": valid\n";
    }
    return valid ? exit_code::done : exit_code::invalid_input;
}

} // namespace bronzechute
