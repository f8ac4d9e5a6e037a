#pragma once

#include "entry/api_error.h"
#include "entry/endpoint_directory.h"
#include "entry/entry_metrics.h"
#include "entry/pending_table.h"
#include "entry/relay_end.h"
#include "entry/request_context.h"
#include "http/http_reply.h"
#include "policy/retry_budget.h"
#include "store/configuration_holder.h"

#include <optional>
#include <string>

namespace bronzechute {

/**
 * Sends a request to one endpoint after the other until one answers or no further attempt is allowed. Runs on the
 * thread that handles the caller's connection.
 */
class dispatcher
{
public:
    dispatcher(endpoint_directory &directory, pending_table &table, const configuration_holder &configuration,
               entry_metrics &metrics);

    http_reply run(request_context context);

private:
    /** What follows an attempt: relay its answer, try the next endpoint, or fail the request. */
    enum class attempt_end { answered, try_next, not_retryable };

    struct attempt_result
    {
        attempt_end end = attempt_end::not_retryable;
        api_error failure; ///< For try_next, the error to reply with when no further endpoint is available.
    };

    attempt_result tryEndpoint(request_context &context, const link_ptr &connection);

    /** Waits until the head of the answer arrives, the attempt fails or a time limit of the request has passed. */
    attempt_result awaitHead(request_context &context);

    // Each of these ends the current attempt and decides whether another endpoint may be tried.
    attempt_result handleRefused(request_context &context);
    attempt_result handleFailed(request_context &context);
    attempt_result handleLost(request_context &context);
    attempt_result cancelAndFail(request_context &context, int status, const std::string &code,
                                 const std::string &message);
    attempt_result handleFirstTokenTimeout(request_context &context);

    submit_frame makeSubmit(const request_context &context, const link_ptr &connection) const;

    /** Takes one retry from the budget. @returns false without budget, after the deadline or without a caller. */
    bool takeRetry(const request_context &context);
    http_reply relay(request_context context);

    /**
     * Starts an attempt on another endpoint that continues a broken stream.
     * @param body request body for the continuation
     * @returns whether the answer can be relayed
     */
    bool continueOnOtherEndpoint(request_context &context, std::string body);

    /**
     * Buffers the answer until it ends, fails or reaches the size limit.
     * @returns nothing when the answer is larger than the limit
     */
    std::optional<relay_end> bufferAnswer(request_context &context, std::string &body);

    /** Adds the session header. @returns false when the answer is older than a state that the caller has seen. */
    static bool addSessionHeader(const request_context &context, http_reply &reply);
    void finishRelay(request_context &context, relay_end end);

    /** Reports to the directory how the current attempt ended. */
    void reportAttemptEnd(const request_context &context, relay_end end);
    http_reply reportFailure(request_context &context, const api_error &failure);
    void finish(request_context &context, request_outcome outcome);

    endpoint_directory &m_directory;
    pending_table &m_table;
    const configuration_holder &m_configuration;
    entry_metrics &m_metrics;
    ranked_mutex m_budgetMutex {lock_rank::policy};
    retry_budget m_budget;
};

} // namespace bronzechute
