#include "http/connection_table.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace bronzechute {

/** Tracks the socket of one connection until the server closes it. */
class connection_table::client_socket final : public client_connection
{
public:
    explicit client_socket(int descriptor) : m_descriptor(descriptor)
    {
    }

    bool closedByClient() const override
    {
        const std::scoped_lock lock(m_mutex);
        if (m_descriptor < 0) {
            return true;
        }
        pollfd state {m_descriptor, POLLRDHUP, 0};
        return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    /** The server notices that the connection has ended, and closes it. */
    void shutDown()
    {
        const std::scoped_lock lock(m_mutex);
        if (m_descriptor >= 0) {
            ::shutdown(m_descriptor, SHUT_RDWR);
        }
    }

    std::uint64_t lastUse = 0; ///< Changed under the mutex of the table, as the others.
    bool busy = false;
    bool ending = false; ///< Was shut down to make room.

    /** Stops using the descriptor, which the kernel may assign to another connection from now on. */
    void markClosed()
    {
        const std::scoped_lock lock(m_mutex);
        m_descriptor = -1;
    }

private:
    mutable ranked_mutex m_mutex {lock_rank::leaf};
    int m_descriptor;
};

void connection_table::notify(void *self, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
{
    auto *table = static_cast<connection_table *>(self);
    const auto *address = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const auto *descriptor = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (address == nullptr || descriptor == nullptr) {
        return;
    }
    const std::string text = addressText(address->client_addr);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        table->addConnection(text, descriptor->connect_fd);
    } else {
        table->removeConnection(text);
    }
}

std::string connection_table::addressText(const sockaddr *address)
{
    if (address == nullptr || address->sa_family != AF_INET) {
        return {};
    }
    const auto *ipv4 = reinterpret_cast<const sockaddr_in *>(address);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &ipv4->sin_addr, text, sizeof text);
    return std::string(text) + ":" + std::to_string(ntohs(ipv4->sin_port));
}

void connection_table::addConnection(const std::string &address, int descriptor)
{
    const auto added = std::make_shared<client_socket>(descriptor);
    std::shared_ptr<client_socket> replaced;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_limit > 0 && m_sockets.size() >= m_limit && openCount() >= m_limit) {
            replaced = leastRecentlyUsed();
            replaced = replaced == nullptr ? added : replaced;
            replaced->ending = true;
        }
        added->lastUse = ++m_uses;
        m_sockets.insert_or_assign(address, added);
    }
    if (replaced != nullptr) {
        replaced->shutDown();
    }
}

std::size_t connection_table::openCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_sockets, [](const auto &each) { return !each.second->ending; }));
}

std::shared_ptr<connection_table::client_socket> connection_table::leastRecentlyUsed() const
{
    std::shared_ptr<client_socket> first;
    for (const auto &[address, each] : m_sockets) {
        if (!each->busy && !each->ending && (first == nullptr || each->lastUse < first->lastUse)) {
            first = each;
        }
    }
    return first;
}

void connection_table::setLimit(std::size_t connections)
{
    const std::scoped_lock lock(m_mutex);
    m_limit = connections;
}

void connection_table::setBusy(const std::string &address, bool busy)
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_sockets.find(address);
    if (position != m_sockets.end()) {
        position->second->busy = busy;
        position->second->lastUse = ++m_uses;
    }
}

void connection_table::removeConnection(const std::string &address)
{
    std::shared_ptr<client_socket> socket;
    {
        const std::scoped_lock lock(m_mutex);
        const auto position = m_sockets.find(address);
        if (position == m_sockets.end()) {
            return;
        }
        socket = position->second;
        m_sockets.erase(position);
    }
    socket->markClosed();
}

std::shared_ptr<const client_connection> connection_table::find(const std::string &address) const
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_sockets.find(address);
    return position == m_sockets.end() ? nullptr : position->second;
}

} // namespace bronzechute
