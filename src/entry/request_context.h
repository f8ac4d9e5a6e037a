#pragma once

#include "base/boot_clock.h"
#include "entry/caller_request.h"
#include "entry/pending_request.h"
#include "http/client_connection.h"

#include <opentracing/span.h>

#include <memory>
#include <string>
#include <vector>

namespace bronzechute {

/** State of a request while the entry handles it. */
struct request_context
{
    caller_request request;
    std::shared_ptr<pending_request> pending;
    std::shared_ptr<const client_connection> client; ///< May be null.
    time_point arrivedAt;
    time_point deadline;
    time_point attemptAt; ///< When the current attempt was sent.
    time_point headAt; ///< When the head of its answer arrived.
    std::shared_ptr<opentracing::Span> span; ///< Covers the whole request.
    std::shared_ptr<opentracing::Span> attemptSpan; ///< Covers the current attempt.
    std::vector<std::string> tried; ///< Endpoints that have had an attempt.
    bool attemptReported = false; ///< Whether the end of the current attempt was reported to the directory.

    bool clientDisconnected() const
    {
        return client != nullptr && client->closedByClient();
    }
};

} // namespace bronzechute
