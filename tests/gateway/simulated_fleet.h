#pragma once

#include "gateway/exchange_node.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/** A gateway of a simulated_fleet. */
struct simulated_gateway : exchange_source
{
    std::map<std::string, endpoint_load> ownLoads() const override
    {
        return loads;
    }

    std::map<std::string, queue_summary> ownQueues() const override
    {
        return queues;
    }

    std::uint64_t evidenceVersion() const override
    {
        return version;
    }

    crash_evidence evidence() override
    {
        return known;
    }

    std::string host;
    std::string dataCentre;
    bool isRunning = true;
    bool isOld = false; ///< Sends and understands only load reports, as the earlier version did.
    time_point frozenUntil {};
    std::map<std::string, endpoint_load> loads;
    std::map<std::string, queue_summary> queues;
    std::uint64_t version = 0;
    crash_evidence known;
    std::vector<group_state> heardGroups;
    time_point heardGroupsAt {};
    std::unique_ptr<exchange_node> node;
    std::uint64_t generation = 0;
    std::uint64_t sentBytes = 0; ///< With the headers of IP and UDP.
    std::uint64_t crossBytes = 0; ///< Of these, between data centres.
    std::uint64_t hubMessages = 0; ///< That arrived here.
    std::uint64_t storeMessages = 0; ///< Of these, what another gateway read in the store.
    std::map<std::string, load_report> reports; ///< That arrived at an old process, by host.
};

/** Gateways that exchange datagrams in memory, in simulated time, over links that lose, double and delay them. */
class simulated_fleet
{
public:
    /** @param seeds number of gateways that each one knows at its start */
    simulated_fleet(int gateways, int dataCentres, std::size_t seeds = 4);

    simulated_gateway &add(const std::string &dataCentre, bool isOld = false);

    /** A process starts again at the same host, without knowledge. */
    void restart(simulated_gateway &gateway);

    void run(boot_clock::duration duration);

    /** @returns the work of all running gateways but one, by endpointKey(). */
    std::map<std::uint32_t, endpoint_load> truth(const simulated_gateway &except) const;

    /** @returns the hub of a data centre if all its running gateways agree on it, otherwise null. */
    simulated_gateway *hubOf(const std::string &dataCentre);

    /** @returns the names of gateways whose knowledge is not exactly the truth. */
    std::vector<std::string> wrongSums() const;

    time_point now() const
    {
        return m_now;
    }

    std::vector<std::unique_ptr<simulated_gateway>> gateways;
    double loss = 0;
    double doubled = 0;
    std::chrono::milliseconds jitter {0};
    std::set<std::string> deaf; ///< Hosts to which nothing arrives.
    std::set<std::string> mute; ///< Hosts from which nothing arrives.
    std::set<std::string> cutDataCentres; ///< Without a path to the others.
    std::function<void(simulated_gateway &)> beforeTick;

private:
    struct event
    {
        time_point at;
        std::uint64_t order;
        std::size_t gateway;
        std::uint64_t generation; ///< Of a tick.
        std::string from; ///< Empty for a tick.
        std::string bytes;

        bool operator>(const event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void startNode(std::size_t index);
    void tick(std::size_t index);
    void deliver(std::size_t index, const std::string &from, const std::string &bytes);
    void sendAll(simulated_gateway &from);
    bool isCut(const simulated_gateway &from, const simulated_gateway &to) const;
    void push(time_point at, std::size_t gateway, std::uint64_t generation, std::string from, std::string bytes);

    time_point m_now {std::chrono::hours(1)};
    std::uint64_t m_order = 0;
    std::size_t m_seeds;
    std::mt19937_64 m_random {1};
    std::map<std::string, std::size_t> m_indexes; ///< By host.
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
};

} // namespace bronzechute
