#pragma once

#include "base/result.h"
#include "http/http_client.h"

#include <string>

namespace bronzechute {

/** How far a claimed request has come. */
enum class claim_state {
    started, ///< May be running, or may have run.
    finished, ///< The answer is in the claim.
    finished_without_answer, ///< It ran, but the answer was too large to keep.
    released, ///< It was proved not to have run; the key may be claimed again.
};

/** A claim of an idempotency key, as the store keeps it. */
struct claim_record
{
    claim_state state = claim_state::started;
    std::string fingerprint; ///< Of the request that claimed the key.
    std::string mark; ///< Random; tells one's own write from another's.
    std::string owner; ///< Incarnation of the process that claimed it.
    http_answer answer; ///< Only when finished.

    friend bool operator==(const claim_record &, const claim_record &) = default;

    /** @returns the record as one JSON object. */
    std::string serialize() const;

    /** @returns errc::protocol_violation when the text is not a record. */
    static result<claim_record> parse(const std::string &text);
};

} // namespace bronzechute
