#pragma once

#include "config/endpoint_pool.h"
#include "http/header_list.h"
#include "wire/attempt_id.h"
#include "wire/frame_ids.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

MSGPACK_ADD_ENUM(bronzechute::endpoint_kind);

namespace bronzechute {

/** Dispatches a request to the endpoint's engine or service. */
struct submit_frame
{
    static constexpr frame_type type = frame_type::submit;

    attempt_id id;
    std::int64_t revision = 0; ///< Revision of the configuration that the entry used for routing.
    std::string account;
    int accountWeight = 1; ///< Weight of the account in fair scheduling.
    int priority = 0; ///< 0 to 9; higher values are served first.
    endpoint_kind kind = endpoint_kind::model;
    std::string method;
    std::string path; ///< Path and query that are sent to the engine or service.
    header_list headers;
    std::string body;
    bool mayRepeat = false;
    std::int64_t latestStartMs = 0; ///< Latest start time, on the endpoint's boot_clock.
    std::int64_t deadlineMs = 0; ///< Time limit for the complete response, from the arrival at the endpoint.
    std::uint32_t windowBytes = 0; ///< Flow control window: maximum body bytes sent but not yet credited.
    std::string traceparent;

    friend bool operator==(const submit_frame &, const submit_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, revision, account, accountWeight, priority, kind, method, path, headers, body, mayRepeat,
                         latestStartMs, deadlineMs, windowBytes, traceparent)
};

} // namespace bronzechute
