#include "config/document_mapping.h"

#include "config/text_check.h"

#include <algorithm>
#include <charconv>

namespace bronzechute {

document_mapping::document_mapping(const document_node &node, std::string path, problem_list &problems)
    : m_path(std::move(path)), m_line(node.line()), m_readable(node.isMapping()), m_problems(&problems)
{
    if (!node.isDefined()) {
        return;
    }
    if (!node.isMapping()) {
        m_problems->push_back({severity::error, m_path, m_line, node.describe(), "a mapping"});
        return;
    }
    for (const document_node::entry &entry : node.entries()) {
        if (entry.key.empty()) {
            m_problems->push_back({severity::error, m_path, entry.line, "a key that is not a text", "a key"});
        } else if (!m_entries.emplace(entry.key, entry.value).second) {
            m_problems->push_back(
                {severity::error, pathOf(entry.key), entry.line, "the key a second time", "each key once"});
        } else {
            m_orderedKeys.push_back(entry.key);
            m_lines.emplace(entry.key, entry.line);
        }
    }
}

document_mapping document_mapping::load(const std::string &yaml, problem_list &problems)
{
    const document_node nothing;
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
        return {document_node(documents.front()), "", problems};
    } catch (const YAML::Exception &exception) {
        problems.push_back(
            {severity::error, "", exception.mark.line + 1, "malformed YAML (" + exception.msg + ")", "valid YAML"});
        return {nothing, "", problems};
    }
}

bool document_mapping::has(const std::string &key) const
{
    const auto entry = m_entries.find(key);
    return entry != m_entries.end() && !entry->second.isNull();
}

std::string document_mapping::text(const std::string &key, const std::string &fallback)
{
    const document_node *node = findScalar(key, "a text", false);
    return node == nullptr ? fallback : node->scalar();
}

std::string document_mapping::requiredText(const std::string &key, const std::string &expected)
{
    const document_node *node = findScalar(key, expected, true);
    if (node != nullptr && node->scalar().empty()) {
        report(key, expected);
    }
    return node == nullptr ? std::string() : node->scalar();
}

std::string document_mapping::requiredName(const std::string &key)
{
    std::string name = requiredText(key, nameExpectation);
    if (!name.empty() && !isName(name)) {
        report(key, nameExpectation);
    }
    return name;
}

std::string document_mapping::choice(const std::string &key, const std::vector<std::string> &choices, bool required)
{
    const document_node *node = findScalar(key, joined(choices), required);
    if (node == nullptr) {
        return choices.front();
    }
    if (std::find(choices.begin(), choices.end(), node->scalar()) == choices.end()) {
        report(key, joined(choices));
        return choices.front();
    }
    return node->scalar();
}

std::int64_t document_mapping::integer(const std::string &key, std::int64_t minimum, std::int64_t maximum,
                                       std::int64_t fallback, bool required)
{
    const std::string expected = minimum == maximum
        ? std::to_string(minimum)
        : "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const document_node *node = findScalar(key, expected, required);
    if (node == nullptr) {
        return fallback;
    }
    const std::string &digits = node->scalar();
    const char *end = digits.data() + digits.size();
    std::int64_t value = 0;
    // YAML::Node::as() is not used because it parses "010" as octal 8.
    const auto parsed = std::from_chars(digits.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end || node->isQuoted() || value < minimum || value > maximum) {
        report(key, expected);
        return fallback;
    }
    return value;
}

bool document_mapping::boolean(const std::string &key, bool fallback)
{
    const document_node *node = findScalar(key, "true or false", false);
    if (node == nullptr) {
        return fallback;
    }
    if (node->isQuoted() || (node->scalar() != "true" && node->scalar() != "false")) {
        report(key, "true or false");
        return fallback;
    }
    return node->scalar() == "true";
}

std::vector<std::string> document_mapping::texts(const std::string &key)
{
    std::vector<std::string> values;
    const document_node *node = find(key);
    if (node == nullptr) {
        return values;
    }
    if (!node->isList()) {
        report(key, "a list of texts");
        return values;
    }
    for (std::size_t index = 0; index < node->size(); ++index) {
        const document_node item = node->item(index);
        if (!item.isScalar() || item.scalar().empty()) {
            reportItem(key, index, item.describe(), "a text");
        } else if (std::find(values.begin(), values.end(), item.scalar()) != values.end()) {
            reportItem(key, index, item.describe() + " a second time", "each text once");
        } else {
            values.push_back(item.scalar());
        }
    }
    return values;
}

label_set document_mapping::labels(const std::string &key)
{
    label_set labels;
    document_mapping entries = mapping(key);
    for (const std::string &name : entries.m_orderedKeys) {
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

selector document_mapping::selectorAt(const std::string &key)
{
    auto parsed = selector::parse(text(key));
    if (parsed) {
        return parsed.value();
    }
    reportFound(key, parsed.error().detail, "a selector such as \"key=value,key in (a,b),!key\"");
    return {};
}

document_mapping document_mapping::mapping(const std::string &key)
{
    const document_node *node = find(key);
    document_mapping child(node == nullptr ? document_node() : *node, pathOf(key), *m_problems);
    if (node == nullptr) {
        child.m_line = lineOf(key);
    }
    return child;
}

void document_mapping::forEach(const std::string &key, const std::function<void(document_mapping &)> &read)
{
    const document_node *node = find(key);
    if (node == nullptr) {
        return;
    }
    if (!node->isList()) {
        report(key, "a list of mappings");
        return;
    }
    for (std::size_t index = 0; index < node->size(); ++index) {
        const document_node item = node->item(index);
        document_mapping element(item, pathOf(key, index), *m_problems);
        if (item.isMapping()) {
            read(element);
            element.rejectUnknownKeys();
        }
    }
}

void document_mapping::report(const std::string &key, const std::string &expected, severity level)
{
    const auto entry = m_entries.find(key);
    reportFound(key, entry == m_entries.end() ? "nothing" : entry->second.describe(), expected, level);
}

void document_mapping::reportFound(const std::string &key, const std::string &found, const std::string &expected,
                                   severity level)
{
    m_problems->push_back({level, pathOf(key), lineOf(key), found, expected});
}

void document_mapping::reportItem(const std::string &key, std::size_t index, const std::string &found,
                                  const std::string &expected)
{
    m_problems->push_back({severity::error, pathOf(key, index), lineOf(key, index), found, expected});
}

void document_mapping::rejectUnknownKeys()
{
    for (const std::string &key : m_orderedKeys) {
        if (!m_readKeys.contains(key)) {
            const std::vector<std::string> known(m_readKeys.begin(), m_readKeys.end());
            reportFound(key, "an unknown key", known.empty() ? "no key" : joined(known));
        }
    }
}

std::string document_mapping::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

int document_mapping::lineOf(const std::string &key) const
{
    const auto line = m_lines.find(key);
    return line == m_lines.end() ? m_line : line->second;
}

std::string document_mapping::pathOf(const std::string &key, std::size_t index) const
{
    return pathOf(key) + "[" + std::to_string(index) + "]";
}

int document_mapping::lineOf(const std::string &key, std::size_t index) const
{
    const auto entry = m_entries.find(key);
    const bool inside = entry != m_entries.end() && entry->second.isList() && index < entry->second.size();
    return inside ? entry->second.item(index).line() : lineOf(key);
}

const document_node *document_mapping::find(const std::string &key)
{
    m_readKeys.insert(key);
    return has(key) ? &m_entries.at(key) : nullptr;
}

const document_node *document_mapping::findScalar(const std::string &key, const std::string &expected, bool required)
{
    const document_node *node = find(key);
    if (node == nullptr) {
        if (required) {
            report(key, expected);
        }
        return nullptr;
    }
    if (!node->isScalar()) {
        report(key, expected);
        return nullptr;
    }
    return node;
}

} // namespace bronzechute
