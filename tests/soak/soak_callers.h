#pragma once

#include "http/http_client.h"
#include "soak/soak_evidence.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute::soak {

/** What the runner tells the callers while they run. Safe to use from any thread. */
class site_view
{
public:
    /** @param gateways base URL by name */
    explicit site_view(std::map<std::string, std::string> gateways);

    const std::map<std::string, std::string> &gateways() const
    {
        return m_gateways;
    }

    /** The gateway's process is ended or started. */
    void nextIncarnation(const std::string &gateway);
    int incarnation(const std::string &gateway) const;

    /** The version is about to be written. */
    void setNewest(std::int64_t version);
    std::int64_t newest() const;

private:
    const std::map<std::string, std::string> m_gateways;
    mutable std::mutex m_mutex;
    std::map<std::string, int> m_incarnations;
    std::int64_t m_newest = 0;
};

/**
 * Callers of a soak: some send requests of all kinds to any gateway over connections that they keep, come back when
 * they are refused and leave early at times; others ask each gateway for the newest version of the configuration.
 */
class soak_callers
{
public:
    soak_callers(const site_view &view, std::uint64_t seed);
    ~soak_callers();
    soak_callers(const soak_callers &) = delete;
    soak_callers &operator=(const soak_callers &) = delete;

    /** Lets further callers send without a pause. */
    void setBurst(bool on)
    {
        m_burst = on;
    }

    /** Ends the callers and adds what they saw to the evidence. */
    void stop(soak_evidence &evidence);

private:
    void send(std::uint64_t seed);
    void sendBurst(std::uint64_t seed);
    /** @returns a call of one of the first kinds to any gateway. */
    call_record prepare(const char *prefix, std::size_t kinds, std::mt19937_64 &random);
    /** Sends a call and records it. @returns how long the caller is told to wait. */
    std::chrono::milliseconds perform(call_record call, std::chrono::milliseconds timeout, http_client &client);
    void probe(const std::string &gateway);

    const site_view &m_view;
    std::atomic<bool> m_stopped {false};
    std::atomic<bool> m_burst {false};
    std::atomic<int> m_ids {0};
    std::mutex m_mutex;
    std::vector<call_record> m_calls;
    std::vector<version_probe> m_probes;
    std::vector<std::thread> m_threads;
};

} // namespace bronzechute::soak
