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

/** One caller's request on its way through the entry. */
struct request_context
{
    caller_request request;
    std::shared_ptr<pending_request> pending;
    std::shared_ptr<const client_connection> client; ///< May be null.
    time_point arrivedAt;
    time_point deadline;
    time_point attemptAt; ///< When the attempt under way was sent.
    time_point headAt; ///< When the head of its answer came.
    std::shared_ptr<opentracing::Span> span; ///< Of the whole request.
    std::shared_ptr<opentracing::Span> attemptSpan; ///< Of the attempt under way.
    std::vector<std::string> tried; ///< Endpoints that had an attempt.
    bool attemptCounted = false; ///< The directory knows the end of the attempt under way.

    bool clientLeft() const
    {
        return client != nullptr && client->closedByClient();
    }
};

} // namespace bronzechute
