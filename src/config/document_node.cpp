#include "config/document_node.h"

namespace bronzechute {

namespace {

constexpr std::size_t maxQuotedLength = 60;

int lineOf(const YAML::Node &node)
{
    return node.Mark().line >= 0 ? node.Mark().line + 1 : 0;
}

} // namespace

document_node::document_node(const YAML::Node &node)
{
    if (node.IsDefined()) {
        m_yaml = node;
    }
}

bool document_node::isDefined() const
{
    return m_yaml || m_json != nullptr;
}

bool document_node::isNull() const
{
    return m_yaml ? m_yaml->IsNull() : m_json != nullptr && m_json->is_null();
}

bool document_node::isScalar() const
{
    return m_yaml ? m_yaml->IsScalar() : m_json != nullptr && m_json->is_primitive() && !m_json->is_null();
}

bool document_node::isList() const
{
    return m_yaml ? m_yaml->IsSequence() : m_json != nullptr && m_json->is_array();
}

bool document_node::isMapping() const
{
    return m_yaml ? m_yaml->IsMap() : m_json != nullptr && m_json->is_object();
}

std::string document_node::scalar() const
{
    if (m_yaml) {
        return m_yaml->Scalar();
    }
    if (m_json == nullptr) {
        return {};
    }
    return m_json->is_string() ? m_json->get<std::string>() : m_json->dump();
}

bool document_node::isQuoted() const
{
    return m_yaml ? m_yaml->Tag() == "!" : m_json != nullptr && m_json->is_string();
}

int document_node::line() const
{
    return m_yaml ? lineOf(*m_yaml) : 0;
}

std::size_t document_node::size() const
{
    return m_yaml ? m_yaml->size() : m_json != nullptr ? m_json->size() : 0;
}

document_node document_node::item(std::size_t index) const
{
    if (m_yaml) {
        return document_node((*m_yaml)[index]);
    }
    return m_json != nullptr ? document_node((*m_json)[index]) : document_node();
}

std::vector<document_node::entry> document_node::entries() const
{
    std::vector<entry> all;
    if (m_yaml) {
        for (const auto &each : *m_yaml) {
            all.push_back(
                {each.first.IsScalar() ? each.first.Scalar() : "", lineOf(each.first), document_node(each.second)});
        }
    } else if (m_json != nullptr) {
        for (const auto &[key, value] : m_json->items()) {
            all.push_back({key, 0, document_node(value)});
        }
    }
    return all;
}

std::string document_node::describe() const
{
    if (!isDefined() || isNull()) {
        return "nothing";
    }
    if (isMapping()) {
        return "a mapping";
    }
    if (isList()) {
        return "a list";
    }
    const std::string text = scalar();
    return text.size() <= maxQuotedLength ? "\"" + text + "\"" : "\"" + text.substr(0, maxQuotedLength) + "…\"";
}

} // namespace bronzechute
