#include "standins/local_system.h"

#include "config/configuration_parser.h"
#include "settings/daemon_settings.h"
#include "standins/http_fetch.h"
#include "standins/reserved_port.h"
#include "store/etcd_store.h"
#include "store/store_configuration_repository.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

namespace bronzechute::standins {

namespace {

constexpr std::chrono::milliseconds pollInterval {10};

} // namespace

std::string programPath(const std::string &name)
{
    const std::string folder = name == "bronzechuted" || name == "bronzechute" ? "/src/" : "/tests/";
    return BRONZECHUTE_BIN_DIR + folder + name;
}

std::unique_ptr<child_process> startOrThrow(const std::string &program, const std::vector<std::string> &arguments)
{
    auto started = child_process::startReady(programPath(program), arguments);
    if (!started) {
        throw std::runtime_error(program + ": " + started.error().toString());
    }
    return std::move(started.value());
}

bool eventuallyTrue(const std::function<bool()> &condition, std::chrono::seconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

std::string local_system::writeSettings(const std::string &name, const std::string &text)
{
    const std::filesystem::path path = m_directory.path() / (name + ".yaml");
    std::ofstream(path) << text;
    return path;
}

void local_system::startStore()
{
    m_processes["store"] = startOrThrow("store", {});
}

void local_system::startEndpoint(const std::string &name, const std::string &settings)
{
    // The address is fixed so that a restarted process is found at the same place.
    const std::string address = m_ports.emplace_back().address();
    m_settings[name] = writeSettings(name,
                                     "role: endpoint\nnode: " + name + "\nlisten: {http: 127.0.0.1:0, peers: " + address
                                         + "}\nlog: {level: warn}\n" + settings);
    m_endpoints[name] = address;
    restartEndpoint(name);
}

void local_system::restartEndpoint(const std::string &name)
{
    m_processes[name] = startOrThrow("bronzechuted", {"--settings", m_settings.at(name)});
}

void local_system::startModel(const std::string &name, const std::string &dataCentre,
                              const std::vector<std::string> &engineFlags, const std::string &endpointSettings)
{
    auto engine = startOrThrow("model_engine", engineFlags);
    const std::string engineUrl = engine->url();
    m_processes[name + ".engine"] = std::move(engine);
    startEndpoint(name,
                  "data_centre: " + dataCentre + "\nendpoint:\n  labels: {engine: iroda-nyelv}\n  engine: {kind: "
                      + "model, url: \"" + engineUrl + "\", models: [iroda-nyelv]}\n" + endpointSettings);
}

void local_system::startService(const std::string &name, const std::string &dataCentre,
                                const std::vector<std::string> &serviceFlags)
{
    auto service = startOrThrow("plain_service", serviceFlags);
    const std::string serviceUrl = service->url();
    m_processes[name + ".engine"] = std::move(service);
    startEndpoint(name,
                  "data_centre: " + dataCentre + "\nendpoint:\n  labels: {app: iroda-app}\n  engine: {kind: "
                      + "service, url: \"" + serviceUrl + "\"}\n");
}

void local_system::forward(const std::string &endpoint)
{
    const std::string target = m_endpoints.at(endpoint);
    const std::string name = endpoint + ".forwarder";
    m_processes[name] = startOrThrow("forwarder", {"--target_port", target.substr(target.find(':') + 1), "--frames"});
    m_endpoints[endpoint] = m_processes[name]->ready("tcp");
}

void local_system::startEntry(const std::string &name, const std::string &dataCentre, const entry_links &links)
{
    const child_process &store = process(links.store);
    const std::string storeUrl = store.url(store.ready("tcp").empty() ? "http" : "tcp");
    std::string text = "role: entry\nnode: " + name + "\ndata_centre: " + dataCentre
        + "\nlisten: {http: 127.0.0.1:0, admin: 127.0.0.1:0, peers: 127.0.0.1:0}\nlog: {level: warn}\nstore: "
          "{endpoints: [\""
        + storeUrl + "\"]}\nentry:\n";
    const auto addList = [&text](const std::string &key, const std::map<std::string, std::string> &listed) {
        if (!listed.empty()) {
            text.append("  ").append(key).append(":\n");
        }
        for (const auto &[listedName, listedAddress] : listed) {
            text.append("    - {name: ").append(listedName).append(", address: \"").append(listedAddress);
            text.append("\"}\n");
        }
    };
    std::map<std::string, std::string> endpoints = m_endpoints;
    if (links.endpoints) {
        std::erase_if(endpoints, [&](const auto &each) { return !std::ranges::count(*links.endpoints, each.first); });
    }
    addList("endpoints", endpoints);
    std::map<std::string, std::string> peers;
    for (const std::string &peer : links.peers) {
        peers[peer] = process(peer).ready("peers");
    }
    addList("peers", peers);
    m_settings[name] = writeSettings(name, text + links.settings);
    restartEntry(name);
}

void local_system::restartEntry(const std::string &name)
{
    m_processes[name] = startOrThrow("bronzechuted", {"--settings", m_settings.at(name)});
}

void local_system::forwardStore(const std::string &forwarder)
{
    const std::string target = url("store");
    m_processes[forwarder] = startOrThrow("forwarder", {"--target_port", target.substr(target.rfind(':') + 1)});
}

void local_system::inject(const std::string &standin, const nlohmann::json &faults)
{
    const fetch_answer answer = postJson(url(standin) + "/standin/faults", faults.dump());
    if (answer.status != 200) {
        throw std::runtime_error(standin + " refused " + faults.dump() + ": " + answer.body);
    }
}

nlohmann::json local_system::health(const std::string &name)
{
    auto page = nlohmann::json::parse(fetch(url(name) + "/health").body, nullptr, false);
    return page.is_object() ? page : nlohmann::json::object();
}

std::int64_t local_system::revision(const std::string &name)
{
    return health(name).value("revision", std::int64_t {-1});
}

fetch_answer local_system::admin(const std::string &entry, const std::string &method, const std::string &path,
                                 const std::string &body)
{
    fetch_request request;
    request.url = process(entry).url("admin") + "/admin/v1/" + path;
    request.method = method;
    request.body = body;
    return fetch(request);
}

const std::string &local_system::address(const std::string &endpoint) const
{
    return m_endpoints.at(endpoint);
}

void local_system::apply(const std::string &yaml)
{
    const parsed_configuration parsed = parseConfiguration(yaml);
    if (!parsed.content) {
        throw std::runtime_error("configuration: " + parsed.problems.front().toString("document"));
    }
    etcd_store_options options;
    options.endpoints = {url("store")};
    etcd_store store(options);
    store_configuration_repository repository(store, std::random_device {}());
    const auto current = repository.current();
    if (!current) {
        throw std::runtime_error(current.error().toString());
    }
    const auto accepted = repository.propose(*parsed.content, current.value().revision, "test");
    if (!accepted) {
        throw std::runtime_error(accepted.error().toString());
    }
}

bool local_system::waitReady(const std::string &entry, int endpoints)
{
    return eventuallyTrue([&] {
        const fetch_answer answer = fetch(url(entry) + "/ready");
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        return answer.status == 200 && body.value("usable_endpoints", 0) >= endpoints;
    });
}

child_process &local_system::process(const std::string &name)
{
    return *m_processes.at(name);
}

std::string local_system::url(const std::string &name)
{
    return process(name).url();
}

std::string local_system::stats(const std::string &engine)
{
    return fetch(url(engine) + "/standin/stats").body;
}

std::string local_system::exampleConfiguration()
{
    return readTextFile(std::string(BRONZECHUTE_SOURCE_DIR) + "/examples/two_data_centres/configuration.yaml").value();
}

fetch_answer local_system::complete(const std::string &entry, int tokens, bool stream, const std::string &prompt,
                                    const std::string &key)
{
    const nlohmann::json body {{"model", "iroda-nyelv"},
                               {"messages", {{{"role", "user"}, {"content", prompt}}}},
                               {"max_tokens", tokens},
                               {"stream", stream}};
    fetch_request request;
    request.url = url(entry) + "/v1/chat/completions";
    request.method = "POST";
    request.headers = {{"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}};
    request.body = body.dump();
    return fetch(request);
}

fetch_answer local_system::order(const std::string &entry, const std::string &item, const header_list &headers,
                                 std::chrono::milliseconds timeout)
{
    fetch_request request;
    request.url = url(entry) + "/orders";
    request.method = "POST";
    request.headers = headers;
    request.headers.emplace_back("Authorization", "Bearer example-office-key");
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = nlohmann::json {{"text", item}}.dump();
    request.timeout = timeout;
    return fetch(request);
}

} // namespace bronzechute::standins
