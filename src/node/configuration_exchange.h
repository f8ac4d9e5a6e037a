#pragma once

#include "base/ranked_mutex.h"
#include "link/link_handler.h"
#include "store/configuration_holder.h"

#include <cstdint>
#include <functional>
#include <map>

namespace bronzechute {

/**
 * Synchronizes the configuration between connected peers: the side with the newer revision sends it to the other.
 */
class configuration_exchange
{
public:
    /** @param onApplied called, without locks held, after a configuration from a peer was applied */
    configuration_exchange(configuration_holder &holder, std::function<void()> onApplied);

    void onUp(const link_ptr &connection);
    void onDown(const link_ptr &connection);

    /** @param revision the revision of the peer's active configuration, as reported in any frame */
    void onPeerRevision(const link_ptr &connection, std::int64_t revision);
    void onPush(const link_ptr &connection, const config_push_frame &push);

    /** Sends the active configuration to every peer that has an older revision. */
    void publish();

private:
    void sendIfNewer(const link_ptr &connection, std::int64_t peerRevision);

    configuration_holder &m_holder;
    const std::function<void()> m_onApplied;
    ranked_mutex m_mutex {lock_rank::membership};
    std::map<link_ptr, std::int64_t> m_peers; ///< Newest revision that each peer has or was sent.
};

} // namespace bronzechute
