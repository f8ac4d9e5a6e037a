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

/** A request for the endpoint's engine or plain service. */
struct submit_frame
{
    static constexpr frame_type type = frame_type::submit;

    attempt_id id;
    std::int64_t revision = 0; ///< Revision of the configuration by which the entry decided.
    std::string account;
    int accountShare = 1; ///< Weight of the account in fair sharing.
    int priority = 0; ///< 0..9, higher first.
    endpoint_kind kind = endpoint_kind::model;
    std::string method;
    std::string path; ///< Path and query for the engine or service.
    header_list headers;
    std::string body;
    bool mayRepeat = false;
    std::int64_t startBeforeMs = 0; ///< On the endpoint's boot_clock: not started later than this.
    std::int64_t deadlineMs = 0; ///< Time for the whole answer, counted from the arrival at the endpoint.
    std::uint32_t windowBytes = 0; ///< Bytes that may be sent and not credited.
    std::string traceparent;

    friend bool operator==(const submit_frame &, const submit_frame &) = default;

    MSGPACK_DEFINE_ARRAY(id, revision, account, accountShare, priority, kind, method, path, headers, body, mayRepeat,
                         startBeforeMs, deadlineMs, windowBytes, traceparent)
};

} // namespace bronzechute
