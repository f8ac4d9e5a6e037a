#pragma once

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * A node of a YAML or a JSON document. JSON is read without yaml-cpp, because every process parses each accepted
 * configuration. Nothing is copied: a JSON document has to outlive its nodes, and YAML aliases are not expanded.
 */
class document_node
{
public:
    struct entry;

    /** An absent node. */
    document_node() = default;

    explicit document_node(const YAML::Node &node);
    explicit document_node(const nlohmann::json &node) : m_json(&node)
    {
    }

    bool isDefined() const;
    bool isNull() const;
    bool isScalar() const;
    bool isList() const;
    bool isMapping() const;

    /** @returns the text of a scalar. */
    std::string scalar() const;

    /** @returns whether a scalar is a text for certain: quoted in YAML, a string in JSON. */
    bool isQuoted() const;

    /** @returns the line from 1; 0 when there is none. */
    int line() const;

    /** @returns the number of elements of a list. */
    std::size_t size() const;

    /** @returns an element of a list. */
    document_node item(std::size_t index) const;

    /** @returns the entries of a mapping in order of the document; in JSON in order of the keys. */
    std::vector<entry> entries() const;

    /** @returns what a diagnostic says was found: a quoted scalar, cut when long, or the kind of the node. */
    std::string describe() const;

private:
    std::optional<YAML::Node> m_yaml;
    const nlohmann::json *m_json = nullptr;
};

/** A key of a mapping with its value. */
struct document_node::entry
{
    std::string key; ///< Empty when the key is not a text.
    int line = 0;
    document_node value;
};

} // namespace bronzechute
