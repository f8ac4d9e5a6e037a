#pragma once

#include "base/ranked_mutex.h"
#include "link/link_handler.h"
#include "store/configuration_holder.h"

#include <cstdint>
#include <functional>
#include <map>

namespace bronzechute {

/**
 * Keeps the configuration equal on both sides of each connection: whichever side has the newer one sends it.
 */
class configuration_exchange
{
public:
    /** @param onApplied called without locks after a peer's configuration came into force here */
    configuration_exchange(configuration_holder &holder, std::function<void()> onApplied);

    void onUp(const link_ptr &connection);
    void onDown(const link_ptr &connection);

    /** @param revision that the peer has in force, from any frame that tells it */
    void onPeerRevision(const link_ptr &connection, std::int64_t revision);
    void onPush(const link_ptr &connection, const config_push_frame &push);

    /** Sends the configuration in force to every peer that has an older one. */
    void publish();

private:
    void sendIfNewer(const link_ptr &connection, std::int64_t peerRevision);

    configuration_holder &m_holder;
    const std::function<void()> m_onApplied;
    ranked_mutex m_mutex {lock_rank::membership};
    std::map<link_ptr, std::int64_t> m_peers; ///< Revision that each peer has or was sent.
};

} // namespace bronzechute
