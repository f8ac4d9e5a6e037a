#pragma once

#include "base/result.h"
#include "http/http_client.h"

#include <string>

namespace bronzechute {

/** Processing state of a request whose idempotency key is claimed. */
enum class claim_state {
    started, ///< The request may be running or may already have run.
    finished, ///< The request has run and the record holds its answer.
    finished_without_answer, ///< The request has run or may have run, but its answer is not stored.
    released, ///< The request did not run; the key may be claimed again.
};

/** The stored record of a claimed idempotency key. */
struct claim_record
{
    claim_state state = claim_state::started;
    std::string fingerprint; ///< Digest of the request that claimed the key.
    std::string writeId; ///< Random identifier by which a process recognises its own write; stored as "mark".
    std::string owner; ///< Incarnation of the process that claimed the key.
    http_answer answer; ///< Set only in the state finished.

    friend bool operator==(const claim_record &, const claim_record &) = default;

    /** @returns the record as a JSON object. */
    std::string serialize() const;

    /** @returns the parsed record, or errc::protocol_violation when the text is not a valid record. */
    static result<claim_record> parse(const std::string &text);
};

} // namespace bronzechute
