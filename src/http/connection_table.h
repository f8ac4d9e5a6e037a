#pragma once

#include "base/ranked_mutex.h"
#include "http/client_connection.h"

#include <microhttpd.h>

#include <map>
#include <memory>
#include <string>

struct sockaddr;

namespace bronzechute {

/**
 * The open connections of an HTTP server by client address. ulfius does not pass the connection to the handler, and
 * libmicrohttpd does not look at the socket while the handler runs, so a handler that waits could not notice that the
 * client has left.
 */
class connection_table
{
public:
    /** Callback for MHD_OPTION_NOTIFY_CONNECTION; self is a connection_table. */
    static void notify(void *self, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code);

    /** @returns "address:port" of an IPv4 address, or an empty text. */
    static std::string addressText(const sockaddr *address);

    /** @returns the connection of the client, or null. */
    std::shared_ptr<const client_connection> find(const std::string &address) const;

private:
    class watched_socket;

    void opened(const std::string &address, int descriptor);
    void closed(const std::string &address);

    mutable ranked_mutex m_mutex {lock_rank::leaf};
    std::map<std::string, std::shared_ptr<watched_socket>> m_sockets;
};

} // namespace bronzechute
