#include "node/configuration_exchange.h"

#include "config/configuration_parser.h"
#include "observe/log.h"

#include <algorithm>
#include <mutex>
#include <vector>

namespace bronzechute {

configuration_exchange::configuration_exchange(configuration_holder &holder, std::function<void()> onApplied)
    : m_holder(holder), m_onApplied(std::move(onApplied))
{
}

void configuration_exchange::onUp(const link_ptr &connection)
{
    onPeerRevision(connection, connection->peer().revision);
}

void configuration_exchange::onDown(const link_ptr &connection)
{
    const std::scoped_lock lock(m_mutex);
    m_peers.erase(connection);
}

void configuration_exchange::onPeerRevision(const link_ptr &connection, std::int64_t revision)
{
    {
        const std::scoped_lock lock(m_mutex);
        std::int64_t &knownRevision = m_peers[connection];
        knownRevision = std::max(knownRevision, revision);
        revision = knownRevision;
    }
    sendIfNewer(connection, revision);
}

void configuration_exchange::sendIfNewer(const link_ptr &connection, std::int64_t peerRevision)
{
    const configuration_ptr current = m_holder.current();
    if (current->revision <= peerRevision) {
        return;
    }
    {
        const std::scoped_lock lock(m_mutex);
        m_peers[connection] = current->revision;
    }
    connection->send(config_push_frame {current->revision, serializeEnvelope(*current)});
}

void configuration_exchange::onPush(const link_ptr &connection, const config_push_frame &push)
{
    {
        const std::scoped_lock lock(m_mutex);
        std::int64_t &knownRevision = m_peers[connection];
        knownRevision = std::max(knownRevision, push.revision);
    }
    auto envelope = parseEnvelope(push.envelope);
    if (!envelope) {
        logLine(log_level::error, "configuration", "cannot parse the configuration sent by peer",
                {{"peer", connection->peer().node}, {"error", envelope.error().toString()}});
        return;
    }
    const std::int64_t revision = envelope.value().revision;
    if (m_holder.apply(std::move(envelope.value()), configuration_source::peer)) {
        logLine(log_level::info, "configuration", "configuration in force",
                {{"revision", revision}, {"peer", connection->peer().node}});
        m_onApplied();
        publish();
    }
}

void configuration_exchange::publish()
{
    std::vector<std::pair<link_ptr, std::int64_t>> peers;
    {
        const std::scoped_lock lock(m_mutex);
        peers.assign(m_peers.begin(), m_peers.end());
    }
    for (const auto &[connection, revision] : peers) {
        sendIfNewer(connection, revision);
    }
}

} // namespace bronzechute
