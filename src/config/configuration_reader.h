#pragma once

#include "config/configuration.h"
#include "config/configuration_problem.h"
#include "config/document_mapping.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/** Reads an operators' document section by section, then checks the references between sections. */
class configuration_reader
{
public:
    /** Appends to problems; the returned content is valid only if no problem of severity error was added. */
    configuration read(document_mapping document, std::vector<configuration_problem> &problems);

private:
    /** A pool selector, checked after the whole document is read because pools may follow their references. */
    struct selector_reference
    {
        selector pools;
        endpoint_kind kind = endpoint_kind::model;
        std::string path;
        int line = 0;
    };

    /** A reference to an object by name, checked after the whole document is read. */
    struct name_reference
    {
        std::string section;
        std::string name;
        std::string path;
        int line = 0;
        severity level = severity::error;
    };

    endpoint_pool readPool(document_mapping &node);
    traffic_class readClass(document_mapping &node);
    client_account readAccount(document_mapping &node);
    plain_service readService(document_mapping &node);
    data_centre readDataCentre(document_mapping &node);
    endpoint_override readEndpoint(document_mapping &node);
    operator_team readTeam(document_mapping &node);

    std::string readName(document_mapping &node, const std::string &section);
    std::vector<std::string> readKeyHashes(document_mapping &node, const std::string &section);
    selector readPoolSelector(document_mapping &node, endpoint_kind kind);
    std::vector<std::string> readReferences(document_mapping &node, const std::string &key, const std::string &section,
                                            severity level);
    /** Reports a list that is there and has no name. */
    static void requireNames(document_mapping &node, const char *key, const std::vector<std::string> &names);

    void checkSelectorReferences(const std::vector<endpoint_pool> &pools,
                                 std::vector<configuration_problem> &problems) const;
    void checkNameReferences(std::vector<configuration_problem> &problems) const;

    std::map<std::string, std::set<std::string>> m_names; ///< Names by section.
    std::map<std::string, std::set<std::string>> m_hashes; ///< Key hashes by section.
    std::set<std::string> m_prefixes;
    std::vector<selector_reference> m_selectorReferences;
    std::vector<name_reference> m_nameReferences;
};

} // namespace bronzechute
