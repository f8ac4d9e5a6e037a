#pragma once

#include "config/document_mapping.h"
#include "settings/daemon_settings.h"

#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** Reads a daemon's settings file section by section. */
class settings_reader
{
public:
    explicit settings_reader(std::vector<configuration_problem> &problems) : m_problems(problems)
    {
    }

    /** @returns the settings, which are valid only if no problem of severity error was added. */
    daemon_settings read(const std::string &yaml);

private:
    listen_settings readListen(document_mapping node);
    void readStore(document_mapping node);
    void readEntry(document_mapping node);
    void readGateway(document_mapping node);
    endpoint_settings readEndpoint(document_mapping node);
    std::optional<socket_address> readAddress(document_mapping &node, const std::string &key, bool required,
                                              int minPort);
    std::vector<peer_settings> readPeers(document_mapping &node, const std::string &key);

    /** Reports the key if it is present but not allowed for the process's role. @returns whether it is allowed. */
    bool checkAllowedFor(std::initializer_list<daemon_role> roles, document_mapping &node, const std::string &key);

    std::vector<configuration_problem> &m_problems;
    daemon_settings m_settings;
};

} // namespace bronzechute
