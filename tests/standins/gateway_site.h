#pragma once

#include "kv_platform_store.h"
#include "standins/child_process.h"
#include "standins/reserved_port.h"
#include "standins/scratch_directory.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzechute::standins {

/**
 * A small deployment of gateways as separate processes on the loopback address: the stand-in of the users' store,
 * endpoints, gateways, and a forwarder in front of each endpoint and between each gateway and the store. Start the
 * store first. The test is the operator.
 */
class gateway_site
{
public:
    void startStore();

    /** Starts an endpoint behind the forwarder NAME.link. */
    void startEndpoint(const std::string &name, const std::string &service, const std::string &dataCentre,
                       const std::vector<std::string> &flags = {});

    /** Starts an endpoint again, at the same address and under the same name. */
    void restartEndpoint(const std::string &name);

    /** Starts a group of engines in one process, without forwarders. */
    void startGroup(const std::string &name, const std::string &service, int ranks);

    /** Sets the drain timeout of the gateways that are started from now on. */
    void setDrainTimeout(std::chrono::milliseconds timeout)
    {
        m_drainTimeout = timeout;
    }

    /** Starts a gateway that reaches the store through the forwarder NAME.store. */
    void startGateway(const std::string &name, const std::string &dataCentre);

    /** Starts a gateway again, at the same address. */
    void restartGateway(const std::string &name);

    /** Rewrites a gateway's settings file. @param extra lines of the section gateway */
    void changeSettings(const std::string &gateway, const std::string &extra);

    /** Writes an item of the store as the operator does. */
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /** @returns whether the gateway says that it is ready. */
    bool ready(const std::string &gateway);
    bool waitReady(const std::string &gateway);

    /** @returns what a process and the earlier ones of its name have written to standard output. */
    std::string output(const std::string &name);

    /** @returns a process by name. */
    child_process &process(const std::string &name);

    /** @returns the address at which a gateway hears other gateways, by datagrams. */
    std::string peersAddress(const std::string &gateway) const;

    /** @returns the base URL of a gateway for callers, or of a stand-in. */
    std::string url(const std::string &name);

    /** Sets faults of a stand-in; one that does not run has none. */
    void inject(const std::string &standin, const nlohmann::json &faults);

    /** @returns the statistics of a stand-in; null when it does not answer. */
    nlohmann::json stats(const std::string &standin);

private:
    void end(const std::string &name);
    std::string settingsOf(const std::string &gateway, const std::string &extra);

    scratch_directory m_directory;
    std::chrono::milliseconds m_drainTimeout {4000};
    reserved_port m_callers; ///< Numbers of the gateways' ports; the gateways differ by host.
    reserved_port m_status;
    reserved_port m_peers;
    std::list<reserved_port> m_ports;
    std::map<std::string, std::vector<std::string>> m_endpointArguments; ///< By name.
    std::map<std::string, std::string> m_hosts; ///< Of the gateways, by name.
    std::map<std::string, std::string> m_dataCentres; ///< Of the gateways, by name.
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
    std::map<std::string, std::string> m_earlierOutput; ///< Of processes that were started again.
    std::unique_ptr<platform::kv_platform_store> m_operator;
};

} // namespace bronzechute::standins
