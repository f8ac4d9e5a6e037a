#pragma once

#include <cstdint>

namespace bronzechute {

/** Kinds of commands to an engine during a map change of its group. */
enum class rank_command_kind : std::uint8_t {
    prepare, ///< Load the experts of the map version that are new to the rank.
    hold, ///< Do not let the group begin the step until it is released.
    arm, ///< Use the map version from the step on.
    release, ///< End the hold of the step.
};

/** @returns the name of the kind for logs. */
constexpr const char *nameOf(rank_command_kind kind)
{
    switch (kind) {
    case rank_command_kind::prepare:
        return "prepare";
    case rank_command_kind::hold:
        return "hold";
    case rank_command_kind::arm:
        return "arm";
    case rank_command_kind::release:
        return "release";
    }
    return "unknown";
}

/** A command to the engine of one rank. */
struct rank_command
{
    rank_command_kind kind = rank_command_kind::prepare;
    std::int64_t epoch = 0; ///< Of the group; an engine in another epoch rejects the command.
    std::int64_t version = 0; ///< Map version, for prepare and arm.
    std::int64_t step = 0; ///< Switch step, for hold, arm and release.

    friend bool operator==(const rank_command &, const rank_command &) = default;
};

/** The outcome of a command. */
enum class command_outcome : std::uint8_t {
    accepted, ///< The command was started, or its effect was already in place.
    rejected, ///< The command does not apply to the engine's state and had no effect.
    unknown, ///< The command may have been accepted or may still be executed.
};

} // namespace bronzechute
