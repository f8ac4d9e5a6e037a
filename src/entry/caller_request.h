#pragma once

#include "config/endpoint_pool.h"
#include "config/selector.h"
#include "entry/read_session.h"
#include "http/header_list.h"

#include <chrono>
#include <optional>
#include <string>

namespace bronzechute {

/** A caller's request after authentication and classification. */
struct caller_request
{
    std::string account;
    int accountWeight = 1;
    std::string className; ///< Traffic class or service, for logs and metrics.
    endpoint_kind kind = endpoint_kind::model;
    std::string model; ///< Only for kind model.
    selector pools; ///< Selects the pools by their labels.
    std::string method;
    std::string path; ///< Path and query for the back end.
    header_list headers; ///< For the back end.
    std::string body;
    std::string prompt; ///< Text whose prefix an engine may have cached; only for kind model.
    bool streaming = false; ///< Whether the answer is relayed while it arrives.
    bool mayRepeat = false; ///< Whether the request is safe to run more than once.
    int priority = 5;
    std::chrono::milliseconds deadline {60000};
    std::chrono::milliseconds queueTimeout {10000}; ///< Maximum wait in an endpoint's queue.
    std::chrono::milliseconds firstTokenTimeout {0}; ///< Maximum time of an attempt to its first byte; 0: no limit.
    bool resumeElsewhere = false; ///< Whether another endpoint may continue a broken stream.
    bool readYourWrites = false; ///< Whether reads must not return a state older than the session's.
    std::string service; ///< Only for kind service.
    std::optional<read_session> session; ///< Newest state that the caller has seen; only with readYourWrites.
    std::optional<std::string> idempotencyKey;

    friend bool operator==(const caller_request &, const caller_request &) = default;
};

} // namespace bronzechute
