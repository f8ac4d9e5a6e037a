#pragma once

#include <cstdint>

namespace bronzechute {

/** What an engine is told when a group changes its expert map. */
enum class rank_order_kind : std::uint8_t {
    prepare, ///< Load the experts of the version that are new to the rank.
    hold, ///< The group does not begin the step until it is released.
    arm, ///< Use the version from the step on.
    release, ///< Ends the hold of the step.
};

/** @returns the kind's name in logs. */
constexpr const char *nameOf(rank_order_kind kind)
{
    switch (kind) {
    case rank_order_kind::prepare:
        return "prepare";
    case rank_order_kind::hold:
        return "hold";
    case rank_order_kind::arm:
        return "arm";
    case rank_order_kind::release:
        return "release";
    }
    return "unknown";
}

/** An order to the engine of one rank. */
struct rank_order
{
    rank_order_kind kind = rank_order_kind::prepare;
    std::int64_t epoch = 0; ///< Of the group; an engine in another epoch refuses the order.
    std::int64_t version = 0; ///< Of prepare and arm.
    std::int64_t step = 0; ///< Of hold, arm and release.

    friend bool operator==(const rank_order &, const rank_order &) = default;
};

/** What came of an order. */
enum class order_outcome : std::uint8_t {
    accepted, ///< Begun, or the state holds already.
    rejected, ///< It does not fit the engine's state and has changed nothing.
    unknown, ///< It may have been accepted, or may still be carried out.
};

} // namespace bronzechute
