#include "entry/idempotency_guard.h"

#include "base/sha256.h"
#include "observe/log.h"

namespace bronzechute {

namespace {

constexpr std::chrono::seconds storeRetryAfter {5};
constexpr std::chrono::seconds inProgressRetryAfter {1};

claim_request makeClaim(const caller_request &request)
{
    return {request.service, request.account, *request.idempotencyKey,
            sha256Hex(request.method + "\n" + request.path + "\n" + request.body)};
}

api_error claimError(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::in_progress:
        return {409,
                "in_progress",
                "a request with this Idempotency-Key is running",
                "Idempotency-Key",
                request_outcome::unknown,
                inProgressRetryAfter};
    case claim_verdict::fingerprint_differs:
        return {422,
                "idempotency_key_reused",
                "this Idempotency-Key belongs to another request",
                "Idempotency-Key",
                request_outcome::not_run,
                {}};
    default:
        return {409,
                "outcome_unknown",
                "a request with this Idempotency-Key may have run; its answer is lost",
                "Idempotency-Key",
                request_outcome::unknown,
                {}};
    }
}

} // namespace

idempotency_guard::idempotency_guard(dispatcher &requestDispatcher, claim_registry *claims)
    : m_dispatcher(requestDispatcher), m_claims(claims)
{
}

http_reply idempotency_guard::run(request_context context)
{
    if (context.request.mayRepeat || !context.request.idempotencyKey) {
        return m_dispatcher.run(std::move(context));
    }
    const std::string id = context.pending->id().toString();
    const api_error storeUnavailable {503,
                                      "store_unavailable",
                                      "the idempotency key cannot be claimed now",
                                      "Idempotency-Key",
                                      request_outcome::not_run,
                                      storeRetryAfter};
    if (m_claims == nullptr) {
        return storeUnavailable.toReply(id);
    }
    const auto claimed = m_claims->claim(makeClaim(context.request));
    if (!claimed) {
        logLine(log_level::warn, "claims", "cannot claim the idempotency key",
                {{"request_id", id}, {"error", claimed.error().toString()}});
        return storeUnavailable.toReply(id);
    }
    switch (claimed.value().verdict) {
    case claim_verdict::claimed:
        return runClaimed(std::move(context), claimed.value().claim);
    case claim_verdict::finished:
        return replayAnswer(claimed.value().answer, id);
    default:
        return claimError(claimed.value().verdict).toReply(id);
    }
}

http_reply idempotency_guard::runClaimed(request_context context, const held_claim &claim)
{
    http_reply reply = m_dispatcher.run(std::move(context));
    const std::string outcome = findHeader(reply.headers, "X-Bronzechute-Outcome").value_or("");
    // The registry retries each of these calls when it fails. Until the retry succeeds, later requests with the key are
    // answered with in_progress or outcome_unknown.
    if (outcome == toString(request_outcome::answered)) {
        if (const auto kept = m_claims->finish(claim, {reply.status, reply.headers, reply.body}); !kept) {
            logLine(log_level::warn, "claims", "cannot store the answer of the claim; will retry",
                    {{"error", kept.error().toString()}});
        }
    } else if (outcome == toString(request_outcome::not_run)) {
        if (const auto released = m_claims->release(claim); !released) {
            logLine(log_level::warn, "claims", "cannot release the claim; will retry",
                    {{"error", released.error().toString()}});
        }
    } else if (const auto kept = m_claims->finishWithoutAnswer(claim); !kept) {
        // Without this record the key would be reported as in progress until this entry process exits.
        logLine(log_level::warn, "claims", "cannot store the unknown outcome of the claim; will retry",
                {{"error", kept.error().toString()}});
    }
    return reply;
}

http_reply idempotency_guard::replayAnswer(const http_answer &first, const std::string &requestId)
{
    http_reply reply {first.status, {}, first.body, nullptr};
    for (const auto &header : first.headers) {
        if (!headerNamesEqual(header.first, "X-Request-Id")) {
            reply.headers.push_back(header);
        }
    }
    reply.headers.emplace_back("X-Request-Id", requestId);
    reply.headers.emplace_back("X-Bronzechute-Replayed", "true");
    return reply;
}

} // namespace bronzechute
