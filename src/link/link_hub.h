#pragma once

#include "base/ranked_mutex.h"
#include "base/result.h"
#include "link/link_handler.h"
#include "link/link_options.h"
#include "link/nng_dialer.h"
#include "link/nng_link.h"
#include "settings/daemon_settings.h"

#include <nng/nng.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute {

/**
 * Manages the connections of one process to other processes of the system. It accepts and dials connections, reconnects
 * with a backoff, sends heartbeats and closes connections on which no frame has arrived in time.
 */
class link_hub
{
public:
    /** Binds the listening address. @returns errc::unavailable when it cannot be bound. */
    static result<std::unique_ptr<link_hub>> create(const link_options &options, const socket_address &listenAddress,
                                                    link_handler &handler);

    /** Closes all connections and calls link_handler::onDown for each that was up. */
    ~link_hub();
    link_hub(const link_hub &) = delete;
    link_hub &operator=(const link_hub &) = delete;

    /** Starts to accept and dial connections. The handler may be called from now on. */
    void open();

    std::uint16_t port() const
    {
        return m_port;
    }

    /**
     * Maintains a connection to the named peer at the address. Does nothing if this address is already dialed for the
     * name. A connection to a previous address of the peer is closed once the new one is established.
     */
    void dial(const std::string &name, const std::string &address);

    /** Stops dialing the named peer and closes its connection. */
    void forget(const std::string &name);

    /** Sends a heartbeat on every connection now, because the state that heartbeats carry has changed. */
    void sendHeartbeats();

private:
    struct dialed_peer
    {
        std::unique_ptr<nng_dialer> dialer;
        std::shared_ptr<nng_link> connection;
    };

    link_hub(const link_options &options, link_handler &handler);

    static void onAccepted(void *self);
    void handleAccepted();
    void startAccept();
    std::shared_ptr<nng_link> startLink(nng_stream *stream, const std::string &address);
    void run();
    void wake();
    void maintain(time_point now);
    void maintainDialedPeers(time_point now);
    void releaseClosedLinks();

    const link_options m_options;
    link_handler &m_handler;
    nng_stream_listener *m_listener = nullptr;
    nng_aio *m_acceptAio = nullptr;
    std::uint16_t m_port = 0;
    std::mt19937_64 m_random;

    mutable ranked_mutex m_mutex {lock_rank::link_table};
    std::condition_variable_any m_wakeup;
    std::vector<std::shared_ptr<nng_link>> m_links; ///< All connections that are not released yet.
    std::map<std::string, dialed_peer, std::less<>> m_dialedPeers; ///< By peer name.
    bool m_woken = false;
    bool m_heartbeatRequested = false;
    bool m_acceptFailed = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bronzechute
