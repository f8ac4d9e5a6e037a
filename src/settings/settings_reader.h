#pragma once

#include "config/yaml_mapping.h"
#include "settings/daemon_settings.h"

#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** Reads the settings of a daemon section by section. */
class settings_reader
{
public:
    explicit settings_reader(std::vector<configuration_problem> &problems) : m_problems(problems)
    {
    }

    /** The settings are usable only when no problem of severity error was added. */
    daemon_settings read(const std::string &yaml);

private:
    listen_settings readListen(yaml_mapping node);
    void readStore(yaml_mapping node);
    void readEntry(yaml_mapping node);
    endpoint_settings readEndpoint(yaml_mapping node);
    std::optional<socket_address> readAddress(yaml_mapping &node, const std::string &key, bool required,
                                              int lowestPort);
    std::vector<peer_settings> readPeers(yaml_mapping &node, const std::string &key);

    /** Reports a key that belongs to the other role. @returns whether the key belongs to the process's role. */
    bool belongsTo(daemon_role role, yaml_mapping &node, const std::string &key);

    std::vector<configuration_problem> &m_problems;
    daemon_settings m_settings;
};

} // namespace bronzechute
