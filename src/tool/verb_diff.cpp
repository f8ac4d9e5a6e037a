#include "config/configuration_diff.h"
#include "config/configuration_parser.h"
#include "tool/revision_text.h"
#include "tool/verb.h"

namespace bronzechute {

namespace {

/**
 * Requests a configuration from the server.
 * @param revision empty for the current configuration
 * @returns std::nullopt after a reported error, with @p code set
 */
std::optional<configuration> fetchConfiguration(verb_context &context, const std::string &revision, exit_code &code)
{
    const std::string target = revision.empty() ? "/admin/v1/configuration" : "/admin/v1/configuration/" + revision;
    const auto reply = context.request("GET", target, "", code);
    if (!reply) {
        return std::nullopt;
    }
    auto envelope = parseEnvelope(reply->dump());
    if (!envelope) {
        code = context.fail(exit_code::failed, "the answer is not a configuration: " + envelope.error().detail);
        return std::nullopt;
    }
    return envelope.value().content;
}

/** @returns the configuration in a file, or std::nullopt after a reported error, with @p code set. */
std::optional<configuration> readConfigurationFile(verb_context &context, const std::string &path, exit_code &code)
{
    code = exit_code::invalid_input;
    const auto text = context.readDocument(path);
    if (!text) {
        return std::nullopt;
    }
    auto parsed = parseConfiguration(*text);
    context.printProblems(parsed.problems, path);
    return parsed.content;
}

} // namespace

exit_code runDiff(verb_context &context)
{
    const std::vector<std::string> &arguments = context.arguments();
    const bool revisions = arguments.size() == 2;
    for (const std::string &argument : arguments) {
        if (revisions && !parseRevision(argument)) {
            return context.fail(exit_code::invalid_input,
                                "found revision \"" + argument + "\", expected an integer from 0");
        }
    }
    exit_code code = exit_code::done;
    const auto after = revisions ? fetchConfiguration(context, arguments[1], code)
                                 : readConfigurationFile(context, arguments[0], code);
    if (!after) {
        return code;
    }
    const auto before = fetchConfiguration(context, revisions ? arguments[0] : "", code);
    if (!before) {
        return code;
    }
    const auto changes = diffConfigurations(*before, *after);
    if (context.options().json) {
        context.printJson(toJson(changes));
    } else {
        verb_context::printChanges(toJson(changes), context.out());
    }
    return exit_code::done;
}

} // namespace bronzechute
