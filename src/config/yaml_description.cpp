#include "config/yaml_description.h"

namespace bronzechute {

namespace {

constexpr std::size_t longestQuote = 60;

} // namespace

int lineNumber(const YAML::Node &node)
{
    return node.IsDefined() && node.Mark().line >= 0 ? node.Mark().line + 1 : 0;
}

std::string describe(const YAML::Node &node)
{
    if (!node.IsDefined() || node.IsNull()) {
        return "nothing";
    }
    if (node.IsMap()) {
        return "a mapping";
    }
    if (node.IsSequence()) {
        return "a list";
    }
    const std::string &scalar = node.Scalar();
    return scalar.size() <= longestQuote ? "\"" + scalar + "\"" : "\"" + scalar.substr(0, longestQuote) + "…\"";
}

bool isPlain(const YAML::Node &node)
{
    return node.Tag() != "!";
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (std::size_t index = 0; index < words.size(); ++index) {
        text += index == 0 ? "" : index + 1 == words.size() ? " or " : ", ";
        text += words[index];
    }
    return text;
}

} // namespace bronzechute
