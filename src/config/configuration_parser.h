#pragma once

#include "base/result.h"
#include "config/configuration.h"
#include "config/configuration_envelope.h"
#include "config/configuration_problem.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** A document that was read, and everything that was found wrong with it. */
struct parsed_configuration
{
    std::optional<configuration> content; ///< Absent when there is a problem of severity error.
    std::vector<configuration_problem> problems;
};

/**
 * Reads and checks an operators' document in YAML (of which JSON is a part).
 * Reports every problem, not only the first.
 */
parsed_configuration parseConfiguration(const std::string &yaml);

/** Like parseConfiguration(), for a document that was read as JSON; problems have no lines. Much faster than YAML. */
parsed_configuration parseConfigurationJson(const nlohmann::json &document);

/** @returns the document in the JSON form that the store keeps; parseConfiguration reads it back. */
nlohmann::json toJson(const configuration &content);

/** @returns the document as YAML for people. */
std::string toYaml(const configuration &content);

/** @returns the envelope as one JSON object {revision, mark, author, at, content}. */
std::string serializeEnvelope(const configuration_envelope &envelope);

result<configuration_envelope> parseEnvelope(const std::string &json);

} // namespace bronzechute
