#pragma once

#include "gateway/caller_session.h"
#include "settings/daemon_settings.h"

#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace bronzechute {

/** Accepts callers' connections on one address and keeps their sessions. */
class gateway_listener
{
public:
    /** Both have to outlive the event loop's work. */
    gateway_listener(boost::asio::io_context &loop, request_handler &handler, const session_options &options);

    /** @returns the cause when the address cannot be used. */
    boost::system::error_code start(const socket_address &address);

    /** @returns the address, with the port that the kernel chose for port 0. */
    std::string address() const;

    /** Closes connections that carry no request. */
    void closeIdle();

    /** @returns connections with a request that is not answered yet. */
    std::size_t busyCount();

    void stop();

private:
    void accept();
    void forgetClosed();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    request_handler &m_handler;
    const session_options &m_options;
    std::vector<std::weak_ptr<caller_session>> m_sessions;
    std::size_t m_acceptsSinceCleanup = 0;
};

} // namespace bronzechute
