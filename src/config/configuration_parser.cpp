#include "config/configuration_parser.h"

#include "config/configuration_reader.h"

#include <algorithm>

namespace bronzechute {

parsed_configuration parseConfiguration(const std::string &yaml)
{
    parsed_configuration parsed;
    configuration content = configuration_reader().read(yaml, parsed.problems);
    const bool accepted =
        std::none_of(parsed.problems.begin(), parsed.problems.end(),
                     [](const configuration_problem &problem) { return problem.level == severity::error; });
    if (accepted) {
        parsed.content = std::move(content);
    }
    std::stable_sort(parsed.problems.begin(), parsed.problems.end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
    return parsed;
}

} // namespace bronzechute
