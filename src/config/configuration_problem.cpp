#include "config/configuration_problem.h"

namespace bronzechute {

std::string configuration_problem::toString(const std::string &document) const
{
    std::string text = document + ":";
    if (line > 0) {
        text += std::to_string(line) + ":";
    }
    if (level == severity::warning) {
        text += " warning:";
    }
    if (!path.empty()) {
        text += " " + path + ":";
    }
    return text + " found " + found + ", expected " + expected;
}

} // namespace bronzechute
