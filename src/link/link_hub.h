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
 * The connections of one process to other processes of the system: accepts, dials, redials, sends heartbeats and
 * closes connections that have gone silent.
 */
class link_hub
{
public:
    /** Binds the address. @returns errc::unavailable when it cannot be bound. */
    static result<std::unique_ptr<link_hub>> create(const link_options &options, const socket_address &listenAddress,
                                                    link_handler &handler);

    /** Closes all connections; the handler gets onDown for each that was up. */
    ~link_hub();
    link_hub(const link_hub &) = delete;
    link_hub &operator=(const link_hub &) = delete;

    /** Begins to accept and to dial. The handler is called from now on. */
    void open();

    std::uint16_t port() const
    {
        return m_port;
    }

    /**
     * Keeps a connection to the address from now on. Does nothing when the name is dialed there already; a connection
     * to another address of the name is closed when the one to the new address is up.
     */
    void dial(const std::string &name, const std::string &address);

    /** Ends dialing the name and closes its connection. */
    void forget(const std::string &name);

    /** Sends a heartbeat on every connection now, because the state that it carries has changed. */
    void announce();

private:
    struct outgoing
    {
        std::unique_ptr<nng_dialer> dialer;
        std::shared_ptr<nng_link> connection;
    };

    link_hub(const link_options &options, link_handler &handler);

    static void onAccepted(void *self);
    void handleAccepted();
    void startAccept();
    std::shared_ptr<nng_link> adopt(nng_stream *stream, const std::string &address);
    void run();
    void wake();
    void maintain(time_point now);
    void maintainOutgoing(time_point now);
    void releaseDown();

    const link_options m_options;
    link_handler &m_handler;
    nng_stream_listener *m_listener = nullptr;
    nng_aio *m_acceptAio = nullptr;
    std::uint16_t m_port = 0;
    std::mt19937_64 m_random;

    mutable ranked_mutex m_mutex {lock_rank::link_table};
    std::condition_variable_any m_wakeup;
    std::vector<std::shared_ptr<nng_link>> m_links; ///< All connections that are not released.
    std::map<std::string, outgoing, std::less<>> m_outgoing; ///< By the name that is dialed.
    bool m_woken = false;
    bool m_announce = false;
    bool m_acceptFailed = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bronzechute
