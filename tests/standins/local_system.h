#pragma once

#include "standins/child_process.h"
#include "standins/entry_links.h"
#include "standins/fetch_answer.h"
#include "standins/fetch_request.h"
#include "standins/reserved_port.h"
#include "standins/scratch_directory.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzechute::standins {

/** @returns the path of a program of this build, for example "bronzechuted" or "model_engine". */
std::string programPath(const std::string &name);

/** Starts a program of this build and waits until it is ready. Throws std::runtime_error when it does not start. */
std::unique_ptr<child_process> startOrThrow(const std::string &program, const std::vector<std::string> &arguments);

/** Waits until the condition holds, at most for the limit. @returns whether it did. */
bool eventuallyTrue(const std::function<bool()> &condition, std::chrono::seconds limit = std::chrono::seconds(30));

/**
 * A small system of separate processes on the loopback address: the store's stand-in, engines and plain services each
 * with an endpoint process, and entries. Start the store first, then endpoints, then entries.
 */
class local_system
{
public:
    void startStore();

    /** Starts a model engine, and an endpoint process of the same name with the label engine=iroda-nyelv. */
    void startModel(const std::string &name, const std::string &dataCentre,
                    const std::vector<std::string> &engineFlags = {}, const std::string &endpointSettings = {});

    /** Starts an order book, and an endpoint process of the same name with the label app=iroda-app. */
    void startService(const std::string &name, const std::string &dataCentre,
                      const std::vector<std::string> &serviceFlags = {});

    /** Starts an endpoint process again, at the same address and beside the same engine. */
    void restartEndpoint(const std::string &name);

    /** Starts an entry; by default it knows the endpoints started before it. */
    void startEntry(const std::string &name, const std::string &dataCentre, const entry_links &links = {});

    /** Starts an entry again with its settings; its address changes. */
    void restartEntry(const std::string &name);

    /** Accepts the document as the next revision, by the store. */
    void apply(const std::string &yaml);

    /** Waits until the entry knows a configuration and so many usable endpoints. */
    bool waitReady(const std::string &entry, int endpoints);

    /** @returns a process by name: "store", an endpoint's or entry's name, or an endpoint's name with ".engine". */
    child_process &process(const std::string &name);

    /** Routes the connections from entries to this endpoint through a forwarder of frames named NAME.forwarder. */
    void forward(const std::string &endpoint);

    /** Starts a forwarder in front of the store, for the links of an entry. */
    void forwardStore(const std::string &forwarder);

    /** Sets faults of a stand-in. */
    void inject(const std::string &standin, const nlohmann::json &faults);

    /** @returns the page /health of an entry or endpoint process; an empty object when it does not answer. */
    nlohmann::json health(const std::string &name);

    /** @returns the revision in force at an entry or endpoint process; -1 when it does not answer. */
    std::int64_t revision(const std::string &name);

    /** @returns the answer of an entry's administration API; the path begins after "/admin/v1/". */
    fetch_answer admin(const std::string &entry, const std::string &method, const std::string &path,
                       const std::string &body = {});

    /** @returns the address that entries dial for an endpoint process. */
    const std::string &address(const std::string &endpoint) const;

    /** @returns the base URL of an entry, engine or the store. */
    std::string url(const std::string &name);

    /** @returns the JSON of an engine's or service's statistics as text. */
    std::string stats(const std::string &engine);

    /** @returns the example's configuration document. */
    static std::string exampleConfiguration();

    /** @returns the answer of a chat completion through the entry. */
    fetch_answer complete(const std::string &entry, int tokens, bool stream, const std::string &prompt = "hello",
                          const std::string &key = "example-office-key");

    /** @returns the answer of an order booked through the entry. */
    fetch_answer order(const std::string &entry, const std::string &item, const header_list &headers = {},
                       std::chrono::milliseconds timeout = std::chrono::seconds(20));

private:
    std::string writeSettings(const std::string &name, const std::string &text);
    void startEndpoint(const std::string &name, const std::string &settings);

    scratch_directory m_directory;
    std::list<reserved_port> m_ports; ///< Of the endpoint processes, kept while one is stopped.
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
    std::map<std::string, std::string> m_endpoints; ///< Address that entries dial, by name.
    std::map<std::string, std::string> m_settings; ///< Settings file of each entry and endpoint process.
};

} // namespace bronzechute::standins
