#include "tool/revision_text.h"
#include "tool/verb.h"

namespace bronzechute {

exit_code runRollback(verb_context &context)
{
    const std::string &argument = context.arguments().front();
    const auto revision = parseRevision(argument);
    if (!revision || *revision == 0) {
        return context.fail(exit_code::invalid_input,
                            "found revision \"" + argument + "\", expected an integer from 1");
    }
    const nlohmann::json body = {{"revision", *revision}};
    return context.change("POST", "/admin/v1/rollback", body.dump());
}

} // namespace bronzechute
