#pragma once

#include "gateway/endpoint_table.h"
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
 * Exchanges with the other gateways how many requests each has under way at each endpoint, by datagrams: a lost one is
 * made up for by the next. Used from the thread of the event loop.
 */
class load_exchange
{
public:
    /**
     * @param host and port to listen on; all gateways use the same port
     * @param seeds hosts of other gateways, some of which may be gone
     * @param onReport called after another gateway's report was taken over
     */
    load_exchange(boost::asio::io_context &loop, std::string host, std::uint16_t port, std::string node,
                  std::string dataCentre, std::vector<std::string> seeds, endpoint_table &endpoints,
                  std::function<void()> onReport);

    /** @returns the cause when the address cannot be used. */
    boost::system::error_code start();

    /** @returns how many gateways share the fleet's bounds, this one included; on the safe side while unknown. */
    int gateways() const;

    /** @returns whether another gateway coordinates the expert maps. */
    bool otherCoordinates() const;

    /** @returns whether all gateways of other data centres are out of reach. */
    bool cutOff() const;

    /** @returns how many of the other gateways come before this one, for taking turns. */
    std::size_t turn() const;

    /** Tells the others whether this gateway coordinates the expert maps. */
    void setCoordinates(bool coordinates);

    /** Tells the others what this gateway, as the coordinator, knows of the rank groups. */
    void setGroups(std::vector<group_state> groups);

    /** @param seeds that replace those from before */
    void setSeeds(std::vector<std::string> seeds);

private:
    void receive();
    void onDatagram(std::size_t size);
    void scheduleReport();
    void sendReport();
    std::map<std::string, int> ownRunning() const;
    bool groupsDue(time_point now) const;

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const std::string m_host;
    const std::uint16_t m_port;
    std::vector<std::string> m_seeds;
    endpoint_table &m_endpoints;
    const std::function<void()> m_onReport;
    peer_loads m_peers;
    load_report m_report;
    time_point m_startedAt {};
    time_point m_sentAt {};
    std::vector<group_state> m_groups;
    bool m_groupsChanged = false;
    time_point m_groupsSentAt {};
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_datagram {};
    int m_lastAlive = 0;
    int m_mostAlive = 0;
};

} // namespace bronzechute
