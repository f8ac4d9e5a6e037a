#pragma once

#include "base/boot_clock.h"
#include "wire/frame_ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bronzechute::standins {

/** What a forwarder does to a frame. */
enum class frame_action {
    drop,
    duplicate, ///< Sends it at once and a second time after the delay.
    swap, ///< Holds it until the next frame that is not a heartbeat, and sends it after that one.
    delay, ///< Holds it for a time; other frames overtake it.
};

/** A fault for the next frames of one type, in either direction. */
struct frame_rule
{
    frame_type type = frame_type::heartbeat;
    frame_action action = frame_action::drop;
    std::chrono::milliseconds delay {0};
    std::int64_t skip = 0; ///< Frames of the type that pass first.
    std::int64_t times = 1; ///< Frames that it still applies to.
    bool applied = false; ///< Whether it has applied to a frame.
};

/** Rules of a forwarder, shared by its connections. */
struct frame_rules
{
    std::vector<frame_rule> rules;
};

/** @returns the type with the name of the protocol, for example "submit". @throws std::invalid_argument */
frame_type frameTypeNamed(const std::string &name);

/** @returns the action with the name of the enumerator. @throws std::invalid_argument */
frame_action frameActionNamed(const std::string &name);

} // namespace bronzechute::standins
