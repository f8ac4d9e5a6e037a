#pragma once

#include "link/link.h"

#include <memory>
#include <string>

namespace bronzechute {

using link_ptr = std::shared_ptr<link>;

/**
 * Receives the events of the connections of a link_hub. Calls for one connection are ordered and never concurrent;
 * calls for different connections may be concurrent. Implementations must not block.
 */
class link_handler
{
public:
    virtual ~link_handler() = default;

    /** Called once the peer's hello frame has been received. */
    virtual void onUp(const link_ptr &connection) = 0;
    virtual void onFrame(const link_ptr &connection, frame message) = 0;

    /** Called when the connection is closed, but only if onUp was called before. No frame follows. */
    virtual void onDown(const link_ptr &connection, const std::string &reason) = 0;

    /** @returns the heartbeat to send now. The caller sets its sequence number and clock. */
    virtual heartbeat_frame makeHeartbeat() = 0;
};

} // namespace bronzechute
