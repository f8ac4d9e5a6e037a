#pragma once

#include "config/configuration_problem.h"
#include "config/document_node.h"
#include "config/label_set.h"
#include "config/selector.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Strict reader for a mapping of a configuration document. Each invalid value is reported as a problem with its line
 * and key path and replaced by the fallback, so that reading continues and finds further problems.
 */
class document_mapping
{
public:
    using problem_list = std::vector<configuration_problem>;

    /** Reports a node that is not a mapping; an absent node is treated as an empty mapping. */
    document_mapping(const document_node &node, std::string path, problem_list &problems);

    /** Parses a YAML document. Reports malformed YAML, more than one document and invalid UTF-8. */
    static document_mapping load(const std::string &yaml, problem_list &problems);

    /** @returns whether the key is present with a value other than null. */
    bool has(const std::string &key) const;

    std::string text(const std::string &key, const std::string &fallback = {});
    std::string requiredText(const std::string &key, const std::string &expected = "a text");

    /** Reads a required text and reports a value that isName() rejects. */
    std::string requiredName(const std::string &key);

    /** Reads a text that must be one of the choices; the first choice is the fallback. */
    std::string choice(const std::string &key, const std::vector<std::string> &choices, bool required = false);

    std::int64_t integer(const std::string &key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback,
                         bool required = false);
    bool boolean(const std::string &key, bool fallback);
    std::vector<std::string> texts(const std::string &key);
    label_set labels(const std::string &key);
    selector selectorAt(const std::string &key);
    document_mapping mapping(const std::string &key);

    /** Calls back with each element of a list of mappings. */
    void forEach(const std::string &key, const std::function<void(document_mapping &)> &read);

    /** Reports the value of the key as invalid; an absent key is reported at the line of the mapping. */
    void report(const std::string &key, const std::string &expected, severity level = severity::error);

    /** Like report(), with the given description of the value found. */
    void reportFound(const std::string &key, const std::string &found, const std::string &expected,
                     severity level = severity::error);

    /** Reports an element of a list as invalid. */
    void reportItem(const std::string &key, std::size_t index, const std::string &found, const std::string &expected);

    /** Reports each key that was never read; must be called after all known keys were read. */
    void rejectUnknownKeys();

    /** @returns the path of a key, for example "pools[2].members". */
    std::string pathOf(const std::string &key) const;

    /** @returns the line of the key, or of the mapping when the key is absent. */
    int lineOf(const std::string &key) const;

    /** @returns the path of an element of a list, for example "accounts[0].key_hashes[1]". */
    std::string pathOf(const std::string &key, std::size_t index) const;

    /** @returns the line of an element of a list. */
    int lineOf(const std::string &key, std::size_t index) const;

    /** @returns whether the node is a mapping. */
    bool isReadable() const
    {
        return m_readable;
    }

    /** @returns the number of problems found in the whole document so far. */
    std::size_t problemCount() const
    {
        return m_problems->size();
    }

private:
    const document_node *find(const std::string &key);
    const document_node *findScalar(const std::string &key, const std::string &expected, bool required);

    std::string m_path;
    int m_line = 0;
    bool m_readable = false;
    std::map<std::string, document_node> m_entries;
    std::map<std::string, int> m_lines; ///< Line of each key; kept separately because a null value has no line.
    std::vector<std::string> m_orderedKeys; ///< Keys in document order.
    std::set<std::string> m_readKeys; ///< Keys that were read or looked up.
    problem_list *m_problems;
};

} // namespace bronzechute
