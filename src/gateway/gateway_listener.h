#pragma once

#include "gateway/caller_session.h"
#include "gateway/session_owner.h"
#include "settings/daemon_settings.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

namespace bronzechute {

/** Accepts connections on one address and owns their sessions. */
class gateway_listener : public session_owner
{
public:
    /**
     * The handler, the options and the budget must outlive all work of the event loop.
     * @param maxConnections at which a new connection takes the place of another one
     */
    gateway_listener(boost::asio::io_context &loop, request_handler &handler, const session_options &options,
                     memory_budget &budget, std::size_t maxConnections);

    /** Starts to accept connections. @returns the error if the address cannot be bound */
    boost::system::error_code start(const socket_address &address);

    /** @returns the bound address, with the actual port if port 0 was requested. */
    std::string address() const;

    /** Closes idle connections. @param alsoUnused whether to close those that have not carried a request yet */
    void closeIdle(bool alsoUnused = false);

    /** Ends the requests that are being served; see running_exchange::onShutdown(). */
    void endRequests();

    /** @returns how many connections were closed because there were too many. */
    std::uint64_t displaced() const
    {
        return m_displaced;
    }

    /** @returns the number of connections with a request in progress. */
    std::size_t busyCount();

    /** Stops listening. Connections that callers have already opened are taken first. */
    void stop();

    void onSessionClosed(const std::shared_ptr<caller_session> &session) override;

private:
    void accept();
    void admit(boost::asio::ip::tcp::socket socket);
    /** Closes a connection, an idle one if there is any, else the one whose phase lasts longest. @returns whether */
    bool closeOne();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    request_handler &m_handler;
    const session_options &m_options;
    memory_budget &m_budget;
    const std::size_t m_maxConnections;
    std::size_t m_open = 0; ///< Sessions that are not closed; those that are stay in m_sessions for a moment.
    std::uint64_t m_displaced = 0;
    std::unordered_set<std::shared_ptr<caller_session>> m_sessions;
};

} // namespace bronzechute
