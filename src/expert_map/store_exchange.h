#pragma once

#include "expert_map/map_record.h"

#include <cstdint>

namespace bronzechute {

/** A call to the store for the decision record; ranks make it through an entry. */
struct store_request
{
    std::uint64_t tag = 0; ///< Echoed by the answer; unique in the life of the calling process.
    bool write = false; ///< Compare-and-swap; otherwise a read.
    map_record record; ///< Value to write if the stored sequence is record.sequence - 1.

    friend bool operator==(const store_request &, const store_request &) = default;
    friend auto operator<=>(const store_request &, const store_request &) = default;
};

enum class store_outcome : std::uint8_t {
    read, ///< `record` is what the store holds.
    written, ///< `record` was accepted.
    conflict, ///< The stored sequence is another one; an earlier copy of the same write may be the cause.
    unavailable, ///< The call had no effect.
    unknown, ///< A write may have taken effect, or may still do so.
};

/** The answer to a store_request. */
struct store_answer
{
    std::uint64_t tag = 0;
    store_outcome outcome = store_outcome::read;
    map_record record; ///< For read and written.

    friend bool operator==(const store_answer &, const store_answer &) = default;
    friend auto operator<=>(const store_answer &, const store_answer &) = default;
};

} // namespace bronzechute
