#pragma once

#include "base/boot_clock.h"
#include "entry/caller_request.h"
#include "entry/pending_request.h"
#include "http/client_connection.h"
#include "observe/trace_context.h"

#include <memory>
#include <string>
#include <vector>

namespace bronzechute {

/** One caller's request on its way through the entry. */
struct request_context
{
    caller_request request;
    std::shared_ptr<pending_request> pending;
    std::shared_ptr<const client_connection> client; ///< May be null.
    time_point arrivedAt;
    time_point deadline;
    trace_context trace;
    std::vector<std::string> tried; ///< Endpoints that had an attempt.

    bool clientLeft() const
    {
        return client != nullptr && client->closedByClient();
    }
};

} // namespace bronzechute
