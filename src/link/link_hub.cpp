#include "link/link_hub.h"

#include <algorithm>
#include <arpa/inet.h>
#include <mutex>
#include <utility>

namespace bronzechute {

namespace {

constexpr const char *linkListenStep = "link.listen";
constexpr std::chrono::milliseconds maintenanceInterval {100};

std::string addressText(const nng_sockaddr &address)
{
    if (address.s_family != NNG_AF_INET) {
        return "unknown";
    }
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.s_in.sa_addr, text, sizeof text);
    return std::string(text) + ":" + std::to_string(ntohs(address.s_in.sa_port));
}

} // namespace

link_hub::link_hub(const link_options &options, link_handler &handler)
    : m_options(options), m_handler(handler), m_random(std::random_device {}())
{
}

result<std::unique_ptr<link_hub>> link_hub::create(const link_options &options, const socket_address &listenAddress,
                                                   link_handler &handler)
{
    const std::string address = listenAddress.toString();
    std::unique_ptr<link_hub> hub(new link_hub(options, handler));
    nng_aio_alloc(&hub->m_acceptAio, &link_hub::onAccepted, hub.get());
    int status = nng_stream_listener_alloc(&hub->m_listener, ("tcp://" + address).c_str());
    if (status == 0) {
        // Nagle's algorithm would hold each small frame back until the delayed acknowledgement of the previous one.
        status = nng_stream_listener_set_bool(hub->m_listener, NNG_OPT_TCP_NODELAY, true);
    }
    if (status == 0) {
        status = nng_stream_listener_listen(hub->m_listener);
    }
    int port = 0;
    if (status == 0) {
        status = nng_stream_listener_get_int(hub->m_listener, NNG_OPT_TCP_BOUND_PORT, &port);
    }
    if (status != 0) {
        return error {errc::unavailable, linkListenStep, address, nng_strerror(status)};
    }
    hub->m_port = static_cast<std::uint16_t>(port);
    return hub;
}

void link_hub::open()
{
    startAccept();
    m_thread = std::thread([this] { run(); });
}

link_hub::~link_hub()
{
    if (m_listener != nullptr) {
        nng_stream_listener_close(m_listener);
    }
    nng_aio_stop(m_acceptAio);
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_dialedPeers.clear();
    for (const auto &connection : m_links) {
        connection->close("process is stopping");
        connection->release();
    }
    if (m_listener != nullptr) {
        nng_stream_listener_free(m_listener);
    }
    nng_aio_free(m_acceptAio);
}

void link_hub::startAccept()
{
    nng_stream_listener_accept(m_listener, m_acceptAio);
}

void link_hub::onAccepted(void *self)
{
    static_cast<link_hub *>(self)->handleAccepted();
}

void link_hub::handleAccepted()
{
    if (nng_aio_result(m_acceptAio) != 0) {
        // The maintenance thread retries the accept, so that a shortage of file descriptors does not cause a busy loop.
        const std::scoped_lock lock(m_mutex);
        m_acceptFailed = true;
        return;
    }
    auto *stream = static_cast<nng_stream *>(nng_aio_get_output(m_acceptAio, 0));
    nng_sockaddr address {};
    nng_stream_get_addr(stream, NNG_OPT_REMADDR, &address);
    startLink(stream, addressText(address));
    startAccept();
}

std::shared_ptr<nng_link> link_hub::startLink(nng_stream *stream, const std::string &address)
{
    auto connection = std::make_shared<nng_link>(stream, address, m_options, m_handler, [this] { wake(); });
    {
        const std::scoped_lock lock(m_mutex);
        m_links.push_back(connection);
    }
    connection->start();
    return connection;
}

void link_hub::dial(const std::string &name, const std::string &address)
{
    // Destroyed after the lock is released, because its destructor waits for a callback that acquires the lock.
    std::unique_ptr<nng_dialer> replaced;
    {
        const std::scoped_lock lock(m_mutex);
        auto &dialer = m_dialedPeers[name].dialer;
        if (dialer != nullptr && dialer->address() == address) {
            return;
        }
        // A replacement VM has another address. The old connection is kept until the new one is established.
        replaced = std::exchange(dialer, std::make_unique<nng_dialer>(name, address, m_options, [this] { wake(); }));
    }
    wake();
}

void link_hub::forget(const std::string &name)
{
    dialed_peer removed;
    {
        const std::scoped_lock lock(m_mutex);
        const auto position = m_dialedPeers.find(name);
        if (position == m_dialedPeers.end()) {
            return;
        }
        removed = std::move(position->second);
        m_dialedPeers.erase(position);
    }
    if (removed.connection != nullptr) {
        removed.connection->close("peer is no longer used");
    }
}

void link_hub::sendHeartbeats()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_heartbeatRequested = true;
    }
    wake();
}

void link_hub::wake()
{
    const std::scoped_lock lock(m_mutex);
    m_woken = true;
    m_wakeup.notify_all();
}

void link_hub::run()
{
    while (true) {
        {
            std::unique_lock lock(m_mutex);
            m_wakeup.wait_for(lock, maintenanceInterval, [this] { return m_woken || m_stopping; });
            m_woken = false;
            if (m_stopping) {
                return;
            }
        }
        maintain(boot_clock::now());
    }
}

void link_hub::maintain(time_point now)
{
    std::vector<std::shared_ptr<nng_link>> links;
    bool heartbeatNow = false;
    bool acceptAgain = false;
    {
        const std::scoped_lock lock(m_mutex);
        links = m_links;
        std::swap(heartbeatNow, m_heartbeatRequested);
        std::swap(acceptAgain, m_acceptFailed);
    }
    if (acceptAgain) {
        startAccept();
    }
    for (const auto &connection : links) {
        connection->maintain(now, heartbeatNow);
    }
    releaseClosedLinks();
    maintainDialedPeers(now);
}

void link_hub::releaseClosedLinks()
{
    std::vector<std::shared_ptr<nng_link>> down;
    {
        const std::scoped_lock lock(m_mutex);
        const auto firstDown =
            std::partition(m_links.begin(), m_links.end(), [](const auto &each) { return !each->isDown(); });
        down.assign(firstDown, m_links.end());
        m_links.erase(firstDown, m_links.end());
    }
    for (const auto &connection : down) {
        connection->release();
    }
}

void link_hub::maintainDialedPeers(time_point now)
{
    std::vector<std::pair<std::string, nng_stream *>> connected;
    {
        const std::scoped_lock lock(m_mutex);
        for (auto &[name, entry] : m_dialedPeers) {
            if (entry.connection != nullptr && entry.connection->isDown()) {
                entry.connection.reset();
                entry.dialer->scheduleReconnect(now);
            }
            if (nng_stream *stream = entry.dialer->takeConnectedStream(now, m_random)) {
                connected.emplace_back(name, stream);
            }
            entry.dialer->dialWhenDue(now);
        }
    }
    for (const auto &[name, stream] : connected) {
        nng_sockaddr address {};
        nng_stream_get_addr(stream, NNG_OPT_REMADDR, &address);
        auto obsoleteLink = startLink(stream, addressText(address));
        const char *reason = "peer is no longer used";
        {
            const std::scoped_lock lock(m_mutex);
            const auto position = m_dialedPeers.find(name);
            if (position != m_dialedPeers.end()) {
                std::swap(position->second.connection, obsoleteLink);
                reason = "peer is reached at another address";
            }
        }
        // Called without m_mutex, because close() calls back into wake(), which locks it.
        if (obsoleteLink != nullptr) {
            obsoleteLink->close(reason);
        }
    }
}

} // namespace bronzechute
