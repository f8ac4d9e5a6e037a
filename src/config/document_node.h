#pragma once

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * A node of a YAML or JSON document. JSON is read without yaml-cpp, which is much slower, because every process parses
 * each accepted configuration. Nodes are references: a JSON document must outlive them, and YAML aliases are not
 * expanded.
 */
class document_node
{
public:
    struct entry;

    /** Creates an absent node. */
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

    /** @returns the text of a scalar; other JSON scalars than strings in their JSON notation. */
    std::string scalar() const;

    /** @returns whether a scalar is explicitly a string: quoted in YAML, a string in JSON. */
    bool isQuoted() const;

    /** @returns the line number from 1; 0 when unknown. */
    int line() const;

    /** @returns the number of elements of a list. */
    std::size_t size() const;

    /** @returns an element of a list. */
    document_node item(std::size_t index) const;

    /** @returns the entries of a mapping, in document order for YAML and in key order for JSON. */
    std::vector<entry> entries() const;

    /** @returns a description for diagnostics: the quoted scalar, truncated when long, or the kind of the node. */
    std::string describe() const;

private:
    std::optional<YAML::Node> m_yaml;
    const nlohmann::json *m_json = nullptr;
};

/** A key-value pair of a mapping. */
struct document_node::entry
{
    std::string key; ///< Empty when the key is not a scalar.
    int line = 0;
    document_node value;
};

} // namespace bronzechute
