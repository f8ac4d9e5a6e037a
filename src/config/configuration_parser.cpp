#include "config/configuration_parser.h"

#include "config/configuration_reader.h"

#include <algorithm>

namespace bronzechute {

namespace {

/** @param document must report its problems to parsed.problems */
void readDocument(const document_mapping &document, parsed_configuration &parsed)
{
    if (!document.isReadable()) {
        return;
    }
    configuration content = configuration_reader().read(document, parsed.problems);
    const bool accepted =
        std::none_of(parsed.problems.begin(), parsed.problems.end(),
                     [](const configuration_problem &problem) { return problem.level == severity::error; });
    if (accepted) {
        parsed.content = std::move(content);
    }
    std::stable_sort(parsed.problems.begin(), parsed.problems.end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
}

} // namespace

parsed_configuration parseConfiguration(const std::string &yaml)
{
    parsed_configuration parsed;
    readDocument(document_mapping::load(yaml, parsed.problems), parsed);
    return parsed;
}

parsed_configuration parseConfigurationJson(const nlohmann::json &document)
{
    parsed_configuration parsed;
    readDocument(document_mapping(document_node(document), "", parsed.problems), parsed);
    return parsed;
}

} // namespace bronzechute
