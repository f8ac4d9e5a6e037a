#pragma once

#include "expert_map/map_record.h"

#include <cstdint>

namespace bronzechute {

/** A store request for the decision record; ranks send it through an entry. */
struct store_request
{
    std::uint64_t tag = 0; ///< Returned in the answer; unique within the lifetime of the calling process.
    bool write = false; ///< Whether the request is a compare-and-swap; otherwise it is a read.
    map_record record; ///< Value to write if the stored sequence is record.sequence - 1.

    friend bool operator==(const store_request &, const store_request &) = default;
    friend auto operator<=>(const store_request &, const store_request &) = default;
};

enum class store_outcome : std::uint8_t {
    read, ///< `record` is the stored value.
    written, ///< `record` was accepted.
    conflict, ///< The stored sequence number differs, possibly because an earlier copy of the same write was accepted.
    unavailable, ///< The request had no effect.
    unknown, ///< The write may have taken effect or may still take effect.
};

/** The answer to a store_request. */
struct store_answer
{
    std::uint64_t tag = 0;
    store_outcome outcome = store_outcome::read;
    map_record record; ///< Set for read and written.

    friend bool operator==(const store_answer &, const store_answer &) = default;
    friend auto operator<=>(const store_answer &, const store_answer &) = default;
};

} // namespace bronzechute
