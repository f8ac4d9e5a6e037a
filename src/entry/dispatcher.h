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
 * Sends a request to endpoints until one answers or its outcome is settled. Runs on the caller's own thread.
 */
class dispatcher
{
public:
    dispatcher(endpoint_directory &directory, pending_table &table, const configuration_holder &configuration,
               entry_metrics &metrics);

    http_reply run(request_context context);

private:
    enum class attempt_end { answered, try_next, settled };

    struct attempt_result
    {
        attempt_end end = attempt_end::settled;
        api_error failure; ///< For try_next, what to say when no other endpoint can be tried.
    };

    attempt_result tryEndpoint(request_context &context, const link_ptr &connection);
    attempt_result awaitHead(request_context &context);
    attempt_result settleRefused(request_context &context);
    attempt_result settleFailed(request_context &context);
    attempt_result settleLost(request_context &context);
    attempt_result settleCancelled(request_context &context, int status, const std::string &code,
                                   const std::string &message);
    attempt_result settleLateFirstToken(request_context &context);
    submit_frame makeSubmit(const request_context &context, const link_ptr &connection) const;
    bool mayRetry(const request_context &context);
    http_reply relay(request_context context);

    /** Begins an attempt that continues a broken stream. @returns whether its answer can be relayed. */
    bool continueElsewhere(request_context &context, std::string body);

    /** Reads the answer until its end or a limit. @returns nothing when there is more than the limit. */
    std::optional<relay_end> collect(request_context &context, std::string &body);
    /** Adds the session header. @returns false when the answer shows an older state than the caller has seen. */
    static bool keepSession(const request_context &context, http_reply &reply);
    void finishRelay(request_context &context, relay_end end);
    /** Tells the directory how the attempt under way ended. */
    void countEnd(const request_context &context, relay_end end);
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
