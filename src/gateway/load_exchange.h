#pragma once

#include "gateway/crash_guard.h"
#include "gateway/endpoint_table.h"
#include "gateway/exchange_node.h"
#include "gateway/exchange_source.h"
#include "gateway/fleet_view.h"
#include "observe/metrics.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Tells the other gateways how much work this one has in flight at each endpoint, and what else they need to know, and
 * learns the same of them. Sends and receives the UDP datagrams of exchange_node, which decides on all of them. Used
 * from the thread of the event loop.
 */
class load_exchange : public fleet_view, private exchange_source
{
public:
    /**
     * @param host address to listen on
     * @param port port to listen on; the same at all gateways
     * @param seeds hosts of other gateways, some of which may no longer exist
     * @param onReport called after a report of another gateway was applied
     */
    load_exchange(boost::asio::io_context &loop, std::string host, std::uint16_t port, std::string node,
                  std::string dataCentre, std::vector<std::string> seeds, endpoint_table &endpoints, crash_guard &guard,
                  std::function<void()> onReport);

    /** Starts to exchange reports. @returns the error if the address cannot be bound */
    boost::system::error_code start();

    /** @returns the number of gateways that share global limits, this one included; a high estimate while unknown. */
    int gateways() const;

    std::string self() const override;
    std::vector<std::string> members(time_point now) const override;
    bool isDiscovered(time_point now) const override;
    queue_summary othersQueues(const std::string &service, time_point now) const override;

    /** Sets where the summaries of this gateway's queues come from, by service. */
    void setQueueSource(std::function<std::map<std::string, queue_summary>()> source);

    /** Sets what the gateways share of the store; it must outlive this object. */
    void setStoreRelay(store_relay &relay);

    /** @returns whether another gateway is the coordinator of expert maps. */
    bool peerIsCoordinator() const;

    /** @returns whether no gateway of another data centre can be reached. */
    bool isPartitioned() const;

    /** @returns how many other gateways try to become the coordinator before this one. */
    std::size_t campaignOrder() const;

    /** Sets whether the reports name this gateway as the coordinator of expert maps. */
    void setIsCoordinator(bool isCoordinator);

    /** Applies the states of the rank groups; a coordinator also reports them to the others. */
    void setGroups(std::vector<group_state> groups);

    /** Sends what is due, for news that the other gateways need soon. */
    void sendReport();

    /** Registers the metrics of the exchange. Their values are read from any thread. */
    void registerMetrics(metrics_registry &registry);

    /** @returns the number of gateways that the seeds name, with this one. */
    int expectedGateways() const;

    /** Replaces the seeds. */
    void setSeeds(std::vector<std::string> seeds);

private:
    void receive();
    void onDatagram(std::size_t size);
    void scheduleReport();
    void applyLoads(time_point now);
    void sendOutgoing();
    std::map<std::string, endpoint_load> ownLoads() const override;
    std::map<std::string, queue_summary> ownQueues() const override;
    std::uint64_t evidenceVersion() const override;
    crash_evidence evidence() override;

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const std::string m_host;
    const std::uint16_t m_port;
    const std::string m_dataCentre;
    std::vector<std::string> m_seeds;
    endpoint_table &m_endpoints;
    crash_guard &m_guard;
    const std::function<void()> m_onReport;
    std::function<std::map<std::string, queue_summary>()> m_queueSource;
    exchange_node m_exchange;
    time_point m_startedAt {};
    std::vector<group_state> m_groups;
    bool m_isCoordinator = false;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_datagram {};
    int m_lastAlivePeers = 0;
    int m_maxGateways = 0;
    std::string m_lastHub;
    metric_counter *m_sentBytes = nullptr;
    metric_counter *m_sentDatagrams = nullptr;
    std::atomic<double> m_isHub {0};
    std::atomic<double> m_dataCentreAgeSeconds {0};
    std::atomic<double> m_shedDatagrams {0};
};

} // namespace bronzechute
