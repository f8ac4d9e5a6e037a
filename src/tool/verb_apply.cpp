#include "config/configuration_parser.h"
#include "tool/revision_text.h"
#include "tool/verb.h"

namespace bronzechute {

exit_code runApply(verb_context &context)
{
    const std::string &path = context.arguments().front();
    const auto text = context.readDocument(path);
    if (!text) {
        return exit_code::invalid_input;
    }
    const auto parsed = parseConfiguration(*text);
    if (context.printProblems(parsed.problems, path)) {
        return exit_code::invalid_input;
    }
    auto base = context.options().baseRevision ? context.options().baseRevision : parseRevisionComment(*text);
    if (!base) {
        exit_code code = exit_code::done;
        const auto current = context.request("GET", "/admin/v1/configuration", "", code);
        if (!current) {
            return code;
        }
        base = current->value("revision", std::int64_t {0});
    }
    return context.change("PUT", "/admin/v1/configuration?base_revision=" + std::to_string(*base), *text);
}

} // namespace bronzechute
