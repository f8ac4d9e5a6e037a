#pragma once

#include "base/ranked_mutex.h"
#include "http/client_connection.h"

#include <microhttpd.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

struct sockaddr;

namespace bronzechute {

/**
 * Maps client addresses to the open connections of an HTTP server. ulfius does not pass the connection to the handler,
 * and libmicrohttpd does not poll the socket while the handler runs, so without this table a blocked handler could not
 * detect that the client has disconnected.
 */
class connection_table
{
public:
    /** Callback for MHD_OPTION_NOTIFY_CONNECTION; self is a connection_table. */
    static void notify(void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code);

    /** @returns "address:port" of an IPv4 address, or an empty string for other address families. */
    static std::string addressText(const sockaddr *address);

    /** Sets at how many connections a new one takes the place of another one, or is closed; 0: no limit. */
    void setLimit(std::size_t connections);

    /** A request of this client is handled from now on, or not any more; meanwhile its connection is not replaced. */
    void setBusy(const std::string &address, bool busy);

    /** @returns the open connection from this client address, or null. */
    std::shared_ptr<const client_connection> find(const std::string &address) const;

private:
    class client_socket;

    void addConnection(const std::string &address, int descriptor);
    void removeConnection(const std::string &address);
    /** @returns the number of connections that were not shut down to make room. */
    std::size_t openCount() const;
    /** @returns the connection without a request in progress whose last use is longest ago, or null. */
    std::shared_ptr<client_socket> leastRecentlyUsed() const;

    mutable ranked_mutex m_mutex {lock_rank::leaf};
    std::map<std::string, std::shared_ptr<client_socket>> m_sockets;
    std::size_t m_limit = 0;
    std::uint64_t m_uses = 0; ///< Connections accepted and requests begun and ended, as a clock.
};

} // namespace bronzechute
