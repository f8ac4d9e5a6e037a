#include "config/text_check.h"
#include "tool/verb.h"

namespace bronzechute {

namespace {

exit_code setDrained(verb_context &context, bool drained)
{
    const std::string &kind = context.arguments()[0];
    const std::string &name = context.arguments()[1];
    if (!isName(name)) {
        return context.fail(exit_code::invalid_input, "found name \"" + name + "\", expected " + nameExpectation);
    }
    nlohmann::json body;
    if (kind == "data_centre") {
        body["state"] = drained ? "out" : "in_service";
        return context.change("POST", "/admin/v1/data_centres/" + name, body.dump());
    }
    if (kind == "endpoint") {
        body["drained"] = drained;
        return context.change("POST", "/admin/v1/endpoints/" + name, body.dump());
    }
    return context.fail(exit_code::invalid_input, "found \"" + kind + "\", expected data_centre or endpoint");
}

} // namespace

exit_code runDrain(verb_context &context)
{
    return setDrained(context, true);
}

exit_code runUndrain(verb_context &context)
{
    return setDrained(context, false);
}

} // namespace bronzechute
