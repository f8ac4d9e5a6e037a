#include "config/yaml_mapping.h"

#include "config/text_check.h"
#include "config/yaml_description.h"

#include <algorithm>
#include <charconv>

namespace bronzechute {

yaml_mapping::yaml_mapping(const YAML::Node &node, std::string path, problem_list &problems)
    : m_path(std::move(path)), m_line(lineNumber(node)), m_problems(&problems)
{
    if (!node.IsDefined()) {
        return;
    }
    if (!node.IsMap()) {
        m_problems->push_back({severity::error, m_path, m_line, describe(node), "a mapping"});
        return;
    }
    for (const auto &entry : node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
        if (key.empty()) {
            m_problems->push_back({severity::error, m_path, lineNumber(entry.first), describe(entry.first), "a key"});
        } else if (!m_entries.emplace(key, entry.second).second) {
            m_problems->push_back(
                {severity::error, pathOf(key), lineNumber(entry.first), "the key a second time", "each key once"});
        } else {
            m_order.push_back(key);
        }
    }
}

yaml_mapping yaml_mapping::load(const std::string &yaml, problem_list &problems)
{
    const YAML::Node nothing(YAML::NodeType::Undefined);
    if (!isUtf8(yaml)) {
        problems.push_back({severity::error, "", 0, "bytes that are not UTF-8", "a YAML document in UTF-8"});
        return {nothing, "", problems};
    }
    try {
        const auto documents = YAML::LoadAll(yaml);
        if (documents.size() != 1) {
            problems.push_back(
                {severity::error, "", 0, std::to_string(documents.size()) + " YAML documents", "one YAML document"});
            return {nothing, "", problems};
        }
        return {documents.front(), "", problems};
    } catch (const YAML::Exception &exception) {
        problems.push_back(
            {severity::error, "", exception.mark.line + 1, "malformed YAML (" + exception.msg + ")", "valid YAML"});
        return {nothing, "", problems};
    }
}

bool yaml_mapping::has(const std::string &key) const
{
    const auto entry = m_entries.find(key);
    return entry != m_entries.end() && !entry->second.IsNull();
}

std::string yaml_mapping::text(const std::string &key, const std::string &fallback)
{
    const YAML::Node *node = findScalar(key, "a text", false);
    return node == nullptr ? fallback : node->Scalar();
}

std::string yaml_mapping::requiredText(const std::string &key, const std::string &expected)
{
    const YAML::Node *node = findScalar(key, expected, true);
    if (node != nullptr && node->Scalar().empty()) {
        report(key, expected);
    }
    return node == nullptr ? std::string() : node->Scalar();
}

std::string yaml_mapping::requiredName(const std::string &key)
{
    std::string name = requiredText(key, nameExpectation);
    if (!name.empty() && !isName(name)) {
        report(key, nameExpectation);
    }
    return name;
}

std::string yaml_mapping::choice(const std::string &key, const std::vector<std::string> &choices, bool required)
{
    const YAML::Node *node = findScalar(key, joined(choices), required);
    if (node == nullptr) {
        return choices.front();
    }
    if (std::find(choices.begin(), choices.end(), node->Scalar()) == choices.end()) {
        report(key, joined(choices));
        return choices.front();
    }
    return node->Scalar();
}

std::int64_t yaml_mapping::integer(const std::string &key, std::int64_t lowest, std::int64_t highest,
                                   std::int64_t fallback, bool required)
{
    const std::string expected = lowest == highest
        ? std::to_string(lowest)
        : "an integer from " + std::to_string(lowest) + " to " + std::to_string(highest);
    const YAML::Node *node = findScalar(key, expected, required);
    if (node == nullptr) {
        return fallback;
    }
    const std::string &digits = node->Scalar();
    const char *end = digits.data() + digits.size();
    std::int64_t value = 0;
    // Not YAML::Node::as(), which takes "010" for 8.
    const auto parsed = std::from_chars(digits.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || !isPlain(*node) || value < lowest || value > highest) {
        report(key, expected);
        return fallback;
    }
    return value;
}

bool yaml_mapping::boolean(const std::string &key, bool fallback)
{
    const YAML::Node *node = findScalar(key, "true or false", false);
    if (node == nullptr) {
        return fallback;
    }
    if (!isPlain(*node) || (node->Scalar() != "true" && node->Scalar() != "false")) {
        report(key, "true or false");
        return fallback;
    }
    return node->Scalar() == "true";
}

std::vector<std::string> yaml_mapping::texts(const std::string &key)
{
    std::vector<std::string> values;
    const YAML::Node *node = find(key);
    if (node == nullptr) {
        return values;
    }
    if (!node->IsSequence()) {
        report(key, "a list of texts");
        return values;
    }
    for (std::size_t index = 0; index < node->size(); ++index) {
        const YAML::Node item = (*node)[index];
        const std::string itemPath = pathOf(key) + "[" + std::to_string(index) + "]";
        if (!item.IsScalar() || item.Scalar().empty()) {
            m_problems->push_back({severity::error, itemPath, lineNumber(item), describe(item), "a text"});
        } else if (std::find(values.begin(), values.end(), item.Scalar()) != values.end()) {
            m_problems->push_back(
                {severity::error, itemPath, lineNumber(item), describe(item) + " a second time", "each text once"});
        } else {
            values.push_back(item.Scalar());
        }
    }
    return values;
}

label_set yaml_mapping::labels(const std::string &key)
{
    label_set labels;
    yaml_mapping entries = mapping(key);
    for (const std::string &name : entries.m_order) {
        if (!isLabelText(name)) {
            entries.reportFound(name, "the key \"" + name + "\"", labelExpectation);
            continue;
        }
        const std::string value = entries.requiredText(name, labelExpectation);
        if (!value.empty() && !isLabelText(value)) {
            entries.report(name, labelExpectation);
        }
        labels.emplace(name, value);
    }
    return labels;
}

selector yaml_mapping::selectorAt(const std::string &key)
{
    auto parsed = selector::parse(text(key));
    if (parsed) {
        return parsed.value();
    }
    reportFound(key, parsed.error().detail, "a selector such as \"key=value,key in (a,b),!key\"");
    return {};
}

yaml_mapping yaml_mapping::mapping(const std::string &key)
{
    const YAML::Node *node = find(key);
    return {node == nullptr ? YAML::Node(YAML::NodeType::Undefined) : *node, pathOf(key), *m_problems};
}

void yaml_mapping::forEach(const std::string &key, const std::function<void(yaml_mapping &)> &read)
{
    const YAML::Node *node = find(key);
    if (node == nullptr) {
        return;
    }
    if (!node->IsSequence()) {
        report(key, "a list of mappings");
        return;
    }
    for (std::size_t index = 0; index < node->size(); ++index) {
        const YAML::Node item = (*node)[index];
        yaml_mapping element(item, pathOf(key) + "[" + std::to_string(index) + "]", *m_problems);
        if (item.IsMap()) {
            read(element);
            element.rejectUnknownKeys();
        }
    }
}

void yaml_mapping::report(const std::string &key, const std::string &expected, severity level)
{
    const auto entry = m_entries.find(key);
    reportFound(key, entry == m_entries.end() ? "nothing" : describe(entry->second), expected, level);
}

void yaml_mapping::reportFound(const std::string &key, const std::string &found, const std::string &expected,
                               severity level)
{
    m_problems->push_back({level, pathOf(key), lineOf(key), found, expected});
}

void yaml_mapping::rejectUnknownKeys()
{
    for (const std::string &key : m_order) {
        if (!m_known.contains(key)) {
            const std::vector<std::string> known(m_known.begin(), m_known.end());
            reportFound(key, "an unknown key", known.empty() ? "no key" : joined(known));
        }
    }
}

std::string yaml_mapping::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

int yaml_mapping::lineOf(const std::string &key) const
{
    const auto entry = m_entries.find(key);
    return entry == m_entries.end() ? m_line : lineNumber(entry->second);
}

const YAML::Node *yaml_mapping::find(const std::string &key)
{
    m_known.insert(key);
    return has(key) ? &m_entries.at(key) : nullptr;
}

const YAML::Node *yaml_mapping::findScalar(const std::string &key, const std::string &expected, bool required)
{
    const YAML::Node *node = find(key);
    if (node == nullptr) {
        if (required) {
            report(key, expected);
        }
        return nullptr;
    }
    if (!node->IsScalar()) {
        report(key, expected);
        return nullptr;
    }
    return node;
}

} // namespace bronzechute
