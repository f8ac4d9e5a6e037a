#include "config/text_check.h"
#include "tool/verb.h"

namespace bronzechute {

exit_code runLabel(verb_context &context)
{
    const std::string &name = context.arguments().front();
    if (!isName(name)) {
        return context.fail(exit_code::invalid_input,
                            "found endpoint name \"" + name + "\", expected " + nameExpectation);
    }
    nlohmann::json labels = nlohmann::json::object();
    for (std::size_t index = 1; index < context.arguments().size(); ++index) {
        const std::string &argument = context.arguments()[index];
        const auto equals = argument.find('=');
        const bool removal = equals == std::string::npos && argument.ends_with('-');
        const std::string key = removal ? argument.substr(0, argument.size() - 1) : argument.substr(0, equals);
        const std::string value = equals == std::string::npos ? "" : argument.substr(equals + 1);
        if (!isLabelText(key) || (!removal && !isLabelText(value))) {
            return context.fail(exit_code::invalid_input,
                                "found label \"" + argument + "\", expected KEY=VALUE or KEY-, each part "
                                    + labelExpectation);
        }
        if (labels.contains(key)) {
            return context.fail(exit_code::invalid_input, "found label " + key + " twice, expected each key once");
        }
        labels[key] = removal ? nlohmann::json() : nlohmann::json(value);
    }
    const nlohmann::json body = {{"labels", labels}};
    return context.change("POST", "/admin/v1/endpoints/" + name, body.dump());
}

} // namespace bronzechute
