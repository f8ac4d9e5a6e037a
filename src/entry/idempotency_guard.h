#pragma once

#include "entry/dispatcher.h"
#include "entry/request_context.h"
#include "http/http_reply.h"
#include "store/claim_registry.h"

namespace bronzechute {

/**
 * Runs a request that carries an Idempotency-Key at most once: claims the key in the store before the request is sent.
 */
class idempotency_guard
{
public:
    /** @param claims null when this entry has no store; requests that need a claim are refused then */
    idempotency_guard(dispatcher &requestDispatcher, claim_registry *claims);

    /** Claims the key if the request needs a claim, then dispatches the request. */
    http_reply run(request_context context);

private:
    http_reply runClaimed(request_context context, const held_claim &claim);
    static http_reply replayAnswer(const http_answer &first, const std::string &requestId);

    dispatcher &m_dispatcher;
    claim_registry *m_claims;
};

} // namespace bronzechute
