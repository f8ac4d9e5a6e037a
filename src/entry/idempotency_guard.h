#pragma once

#include "entry/dispatcher.h"
#include "entry/request_context.h"
#include "http/http_reply.h"
#include "store/claim_registry.h"

namespace bronzechute {

/**
 * Runs requests that carry an Idempotency-Key at most once, by a claim in the store before the request is sent.
 */
class idempotency_guard
{
public:
    /** @param claims null when this entry has no store; such requests are refused then */
    idempotency_guard(dispatcher &next, claim_registry *claims);

    /** Passes on requests that need no claim. */
    http_reply run(request_context context);

private:
    http_reply runClaimed(request_context context, const held_claim &claim);
    static http_reply repeatAnswer(const http_answer &first, const std::string &requestId);

    dispatcher &m_next;
    claim_registry *m_claims;
};

} // namespace bronzechute
