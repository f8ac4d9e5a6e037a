#pragma once

#include "wire/frame_ids.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace bronzechute {

/** Sent between entries: the newest version of a service's state that an account has seen. */
struct session_frame
{
    static constexpr frame_type type = frame_type::session;

    std::string account;
    std::string service;
    std::string endpoint;
    std::int64_t version = 0;

    friend bool operator==(const session_frame &, const session_frame &) = default;

    MSGPACK_DEFINE_ARRAY(account, service, endpoint, version)
};

} // namespace bronzechute
