#include "config/configuration_envelope.h"

#include "config/configuration_parser.h"

namespace bronzechute {

namespace {

error malformed(const std::string &detail)
{
    return {errc::protocol_violation, "configuration.parseEnvelope", "", detail};
}

} // namespace

std::string serializeEnvelope(const configuration_envelope &envelope)
{
    const nlohmann::json object = {{"revision", envelope.revision},
                                   {"mark", envelope.writeId},
                                   {"author", envelope.author},
                                   {"at", envelope.at},
                                   {"content", toJson(envelope.content)}};
    return object.dump();
}

result<configuration_envelope> parseEnvelope(const std::string &json)
{
    const nlohmann::json object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object()) {
        return malformed("not a JSON object");
    }
    const auto isText = [&](const char *key) {
        return object.contains(key) && object[key].is_string();
    };
    if (!object.contains("revision") || !object["revision"].is_number_integer() || !isText("mark") || !isText("author")
        || !isText("at") || !object.contains("content")) {
        return malformed("needs an integer \"revision\", texts \"mark\", \"author\" and \"at\", and \"content\"");
    }
    parsed_configuration parsed = parseConfigurationJson(object["content"]);
    if (!parsed.content) {
        for (const configuration_problem &problem : parsed.problems) {
            if (problem.level == severity::error) {
                return malformed(problem.toString("content"));
            }
        }
    }
    configuration_envelope envelope;
    envelope.revision = object["revision"].get<std::int64_t>();
    envelope.writeId = object["mark"].get<std::string>();
    envelope.author = object["author"].get<std::string>();
    envelope.at = object["at"].get<std::string>();
    envelope.content = std::move(*parsed.content);
    return envelope;
}

} // namespace bronzechute
