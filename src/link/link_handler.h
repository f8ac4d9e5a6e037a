#pragma once

#include "link/link.h"

#include <memory>
#include <string>

namespace bronzechute {

using link_ptr = std::shared_ptr<link>;

/**
 * Receives what happens on the connections of a link_hub. Calls for one connection come in order and one at a time;
 * calls for different connections run concurrently. They must not block.
 */
class link_handler
{
public:
    virtual ~link_handler() = default;

    /** The peer has said hello. */
    virtual void onUp(const link_ptr &connection) = 0;
    virtual void onFrame(const link_ptr &connection, frame message) = 0;

    /** No frame follows. Called only after onUp. */
    virtual void onDown(const link_ptr &connection, const std::string &reason) = 0;

    /** @returns the heartbeat to send now; sequence and clock are filled in by the caller. */
    virtual heartbeat_frame makeHeartbeat() = 0;
};

} // namespace bronzechute
