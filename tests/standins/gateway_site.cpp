#include "standins/gateway_site.h"

#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <fstream>
#include <stdexcept>

namespace bronzechute::standins {

namespace {

constexpr std::chrono::milliseconds operatorTimeout {2000};
constexpr int firstHost = 2; // 127.0.0.1 is used by the stand-ins.
constexpr int writeAttempts = 5;

std::string portOf(const std::string &url)
{
    return url.substr(url.rfind(':') + 1);
}

} // namespace

void gateway_site::startStore()
{
    m_processes["store"] = startOrThrow("kv_store", {});
    m_operator = std::make_unique<platform::kv_platform_store>(url("store"), operatorTimeout);
}

void gateway_site::startEndpoint(const std::string &name, const std::string &service, const std::string &dataCentre,
                                 const std::vector<std::string> &flags)
{
    const std::string port = std::to_string(m_ports.emplace_back().number());
    std::vector<std::string> &arguments = m_endpointArguments[name];
    m_processes[name + ".link"] = startOrThrow("forwarder", {"--target_port", port});
    arguments = {"--id",   name, "--service", service,      "--data_centre", dataCentre,
                 "--port", port, "--store",   url("store"), "--address",     process(name + ".link").ready("tcp")};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    restartEndpoint(name);
}

void gateway_site::end(const std::string &name)
{
    const auto found = m_processes.find(name);
    if (found != m_processes.end()) {
        found->second->kill();
        m_earlierOutput[name] += found->second->output();
        m_processes.erase(found);
    }
}

std::string gateway_site::output(const std::string &name)
{
    return m_earlierOutput[name] + process(name).output();
}

void gateway_site::restartEndpoint(const std::string &name)
{
    end(name);
    m_processes[name] = startOrThrow("routed_endpoint", m_endpointArguments.at(name));
}

void gateway_site::startGroup(const std::string &name, const std::string &service, int ranks)
{
    m_processes[name] =
        startOrThrow("routed_endpoint",
                     {"--id", name, "--service", service, "--ranks", std::to_string(ranks), "--store", url("store")});
}

void gateway_site::startGateway(const std::string &name, const std::string &dataCentre)
{
    m_hosts[name] = "127.0.0." + std::to_string(firstHost + static_cast<int>(m_hosts.size()));
    m_dataCentres[name] = dataCentre;
    m_processes[name + ".store"] = startOrThrow("forwarder", {"--target_port", portOf(url("store"))});
    changeSettings(name, "");
    restartGateway(name);
}

std::string gateway_site::settingsOf(const std::string &gateway, const std::string &extra)
{
    const std::string &host = m_hosts.at(gateway);
    const auto address = [&host](const reserved_port &port) {
        return host + ":" + std::to_string(port.number());
    };
    return "role: gateway\nnode: " + gateway + "\ndata_centre: " + m_dataCentres.at(gateway)
        + "\nregion: region\nlisten: {http: \"" + address(m_callers) + "\", peers: \"" + address(m_peers)
        + "\"}\nstore: {endpoints: [\"http://" + process(gateway + ".store").ready("tcp")
        + "\"], timeout_ms: 1000}\ngateway:\n  status: \"" + address(m_status) + "\"\n  seeds: [\"127.0.0."
        + std::to_string(firstHost) + ":" + std::to_string(m_peers.number())
        + "\"]\n  repeat_window_ms: 10000\n  repeat_share: 0.2\n  repeat_fixed: 90\n" + extra
        + "drain_timeout_ms: " + std::to_string(m_drainTimeout.count()) + "\n";
}

void gateway_site::changeSettings(const std::string &gateway, const std::string &extra)
{
    // Replaced in one step, so that the daemon never reads half of it.
    const std::filesystem::path path = m_directory.path() / (gateway + ".yaml");
    const std::filesystem::path written = m_directory.path() / (gateway + ".new");
    std::ofstream(written) << settingsOf(gateway, extra);
    std::filesystem::rename(written, path);
}

void gateway_site::restartGateway(const std::string &name)
{
    end(name);
    m_processes[name] = startOrThrow("bronzechuted", {"--settings", m_directory.path() / (name + ".yaml")});
}

void gateway_site::put(const std::string &key, const std::string &value)
{
    std::string cause;
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        const auto current = m_operator->get(key);
        if (current) {
            const std::int64_t revision = current.value() ? current.value()->modRevision : 0;
            const auto written = m_operator->compareAndSwap(key, revision, value);
            if (written) {
                return;
            }
            cause = written.error().toString();
        } else {
            cause = current.error().toString();
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    throw std::runtime_error("the operator cannot write " + key + ": " + cause);
}

void gateway_site::remove(const std::string &key)
{
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        const auto current = m_operator->get(key);
        if (current && (!current.value() || m_operator->compareAndDelete(key, current.value()->modRevision))) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    throw std::runtime_error("the operator cannot remove " + key);
}

bool gateway_site::ready(const std::string &gateway)
{
    return fetch("http://" + process(gateway).ready("status") + "/v1/readyz").status == 200;
}

bool gateway_site::waitReady(const std::string &gateway)
{
    return eventuallyTrue([&] { return ready(gateway); });
}

child_process &gateway_site::process(const std::string &name)
{
    return *m_processes.at(name);
}

std::string gateway_site::peersAddress(const std::string &gateway) const
{
    return m_hosts.at(gateway) + ":" + std::to_string(m_peers.number());
}

std::string gateway_site::url(const std::string &name)
{
    return process(name).url();
}

void gateway_site::inject(const std::string &standin, const nlohmann::json &faults)
{
    const auto found = m_processes.find(standin);
    if (found != m_processes.end()) {
        postJson(found->second->url() + "/standin/faults", faults.dump());
    }
}

nlohmann::json gateway_site::stats(const std::string &standin)
{
    const auto answer = fetch(url(standin) + "/standin/stats");
    return nlohmann::json::parse(answer.body, nullptr, false);
}

} // namespace bronzechute::standins
