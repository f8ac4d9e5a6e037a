#pragma once

#include "gateway/crash_guard.h"
#include "gateway/endpoint_table.h"
#include "gateway/fleet_view.h"
#include "gateway/peer_loads.h"

#include <utility>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Exchanges load reports with the other gateways: how many requests each of them has in flight at each endpoint.
 * Each report is a UDP datagram with the complete load of its sender, so a later one makes up for a lost one. Used from
 * the thread of the event loop.
 */
class load_exchange : public fleet_view
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

    /** Sends a report at once, for news that the other gateways need soon. */
    void sendReport();

    /** Replaces the seeds. */
    void setSeeds(std::vector<std::string> seeds);

private:
    void receive();
    void onDatagram(std::size_t size);
    void scheduleReport();
    std::map<std::string, int> ownRunning() const;
    std::map<std::string, std::int64_t> ownTokens() const;
    bool groupsDue(time_point now) const;
    bool evidenceDue(time_point now) const;

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const std::string m_host;
    const std::uint16_t m_port;
    std::vector<std::string> m_seeds;
    endpoint_table &m_endpoints;
    crash_guard &m_guard;
    const std::function<void()> m_onReport;
    std::function<std::map<std::string, queue_summary>()> m_queueSource;
    peer_loads m_peers;
    load_report m_report;
    time_point m_startedAt {};
    time_point m_sentAt {};
    std::vector<group_state> m_groups;
    bool m_groupsChanged = false;
    time_point m_groupsSentAt {};
    std::uint64_t m_evidenceVersion = 0; ///< Version of the evidence that was sent last.
    int m_evidenceRepetitions = 0; ///< How often this version is still to be sent soon.
    time_point m_evidenceSentAt {};
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_datagram {};
    int m_lastAlivePeers = 0;
    int m_maxGateways = 0;
};

} // namespace bronzechute
