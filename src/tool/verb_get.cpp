#include "config/configuration_parser.h"
#include "tool/revision_text.h"
#include "tool/verb.h"

namespace bronzechute {

exit_code runGet(verb_context &context)
{
    std::string target = "/admin/v1/configuration";
    if (!context.arguments().empty()) {
        if (!parseRevision(context.arguments().front())) {
            return context.fail(exit_code::invalid_input,
                                "found revision \"" + context.arguments().front() + "\", expected an integer from 0");
        }
        target += "/" + context.arguments().front();
    }
    exit_code code = exit_code::done;
    const auto reply = context.request("GET", target, "", code);
    if (!reply) {
        return code;
    }
    if (context.options().json) {
        context.printJson(*reply);
        return exit_code::done;
    }
    const auto envelope = parseEnvelope(reply->dump());
    if (!envelope) {
        return context.fail(exit_code::failed, "the answer is not a configuration: " + envelope.error().detail);
    }
    context.out() << revisionCommentPrefix << envelope.value().revision;
    if (!envelope.value().author.empty()) {
        context.out() << ", author: " << envelope.value().author << ", at: " << envelope.value().at;
    }
    context.out() << "\n" << toYaml(envelope.value().content);
    return exit_code::done;
}

} // namespace bronzechute
