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

/** The result of parsing a document: its content and all problems found. */
struct parsed_configuration
{
    std::optional<configuration> content; ///< Absent when there is a problem of severity error.
    std::vector<configuration_problem> problems;
};

/**
 * Parses and validates an operators' document in YAML, of which JSON is a subset. Reports all problems, in order of
 * lines.
 */
parsed_configuration parseConfiguration(const std::string &yaml);

/** Like parseConfiguration() for parsed JSON. Much faster than parsing YAML; the problems have no line numbers. */
parsed_configuration parseConfigurationJson(const nlohmann::json &document);

/** @returns the document as the JSON kept in the store; parseConfigurationJson() is the inverse. */
nlohmann::json toJson(const configuration &content);

/** @returns the document as human-readable YAML. */
std::string toYaml(const configuration &content);

/** @returns the envelope as a JSON object {revision, mark, author, at, content}. */
std::string serializeEnvelope(const configuration_envelope &envelope);

/** @returns the envelope, or errc::protocol_violation when the text is malformed or its content is invalid. */
result<configuration_envelope> parseEnvelope(const std::string &json);

} // namespace bronzechute
