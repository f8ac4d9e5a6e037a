#pragma once

#include "balance/retry_delay.h"
#include "gateway/attempt_outcome.h"
#include "gateway/caller_response.h"
#include "gateway/endpoint_connection.h"
#include "gateway/event_relay.h"
#include "gateway/exchange_plan.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_request.h"
#include "gateway/placement_client.h"
#include "gateway/quarantine_observer.h"
#include "gateway/replacement_attempt.h"
#include "gateway/replacement_observer.h"
#include "gateway/request_handler.h"
#include "gateway/response_observer.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Handles one caller's request: waits for an endpoint, sends the request to it, and relays the response. A request
 * that an endpoint may have run is retried only if the route allows it.
 */
class gateway_exchange : public running_exchange,
                         public response_observer,
                         public replacement_observer,
                         public placement_client,
                         public quarantine_observer,
                         public std::enable_shared_from_this<gateway_exchange>
{
public:
    gateway_exchange(const gateway_context &context, gateway_request request, exchange_plan plan,
                     std::shared_ptr<caller_response> response);

    void start();

    /** @returns whether the response has ended. */
    bool ended() const
    {
        return m_ended;
    }

    void onCallerDisconnected() override;
    void onCallerWritable() override;
    void onShutdown() override;

    void onPlaced(const gateway_endpoint_ptr &endpoint) override;
    void onRefused(refusal reason, boot_clock::duration expectedWait) override;
    std::span<const std::string> tried() const override;
    std::int64_t tokens() const override;
    std::optional<stream_demand> demand() const override;

    std::span<const std::string> promptParts() const override
    {
        return m_plan.promptParts;
    }
    void onQuarantined(const quarantined_part &entry) override;

    void onHead(response_head head) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;
    void onFailure(const exchange_failure &failure) override;
    bool wantsMore() const override;
    bool maySend() const override;

    void onReplacementHead(response_head head) override;
    void onReplacementFailure(const exchange_failure &failure) override;

private:
    bool streaming() const;
    bool refuseIfQuarantined();
    void refuse(const quarantined_part &entry);
    void requestPlacementLater();
    void leaveQueue();
    void abandonAttempt();
    void requestPlacement();
    void send();
    /** Forgets what belongs to the previous attempt. */
    void resetAttempt(time_point startedAt);
    std::string requestHeadFor(const gateway_endpoint &endpoint, time_point now) const;
    /** Sends the request to a second endpoint, while the one of the current attempt is silent. */
    void startReplacement(const gateway_endpoint_ptr &endpoint);
    /** The replacement becomes the current attempt; the previous one has ended. */
    void adoptReplacement();
    /** Ends the search for a replacement, and the replacement itself. */
    void dropReplacement();
    void endLostReplacement(attempt_outcome end, const std::string &cause, int status);
    void takeHead(response_head head);
    /** @returns whether another attempt may follow; takes it from the retry budget. */
    bool mayTryAgain(attempt_outcome end);
    void tryAgain();
    void endAttempt(attempt_outcome end, const std::string &cause);
    void retryOrFail(attempt_outcome end, const std::string &cause);
    bool canRetry(attempt_outcome end) const;
    /** Applies what the head says about its endpoint. */
    void recordStatement(const response_head &head, gateway_endpoint &endpoint, const endpoint_connection &connection);
    /** Applies what a refusal says about the rank group of its endpoint. */
    void recordGroupFault(const response_head &head, gateway_endpoint &endpoint);
    /** @returns whether the head belongs to the response to the attempt on the connection. */
    bool isForThisRequest(const response_head &head, const endpoint_connection &connection) const;
    /** @returns whether the head of a replacement's response is worth giving the current attempt up. */
    bool canReplace(const response_head &head) const;
    void relayEvents(std::string_view bytes);
    void countHeld();
    /** Counts what is held of the answer, and stops reading a whole answer for a moment while no memory is left. */
    void countAnswer();
    void resumeLater();
    /** Updates what is known of the endpoint and of the prompt by an event that has just been relayed. */
    void recordEvent(time_point now);
    void completeStream();
    void completeWhole();
    void fail(int status, const std::string &outcome, std::chrono::milliseconds retryAfter,
              const std::string &body = {});
    std::chrono::milliseconds retryAfterTime(refusal_cause cause, boot_clock::duration expectedWait) const;
    void finishExchange(const std::string &outcome, int status);
    void startDeadline();
    std::chrono::milliseconds progressLimit() const;
    void startAttemptTimer();
    void onAttemptTimeout();
    void onDeadline();
    void recordFirstByte();
    void noteUnanswered(attempt_end end);
    /** @returns whether the request may have crashed the endpoint of the attempt that fails now. */
    bool mayHaveCrashed() const;

    const gateway_context &m_context;
    const gateway_request m_request;
    const exchange_plan m_plan;
    const std::shared_ptr<caller_response> m_response;
    const std::string m_id; ///< Request id from the caller; empty if it sent none.
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_attemptTimer;
    boost::asio::steady_timer m_retryTimer;
    std::vector<std::string> m_tried; ///< Ids of the endpoints of all attempts, in order.
    int m_sentAttempts = 0; ///< Attempts of which any byte may have reached an endpoint.
    bool m_mayHaveRun = false;
    bool m_ended = false;
    std::optional<std::uint64_t> m_ticket; ///< Set while the request is queued.
    gateway_endpoint_ptr m_endpoint; ///< Endpoint of the current attempt.
    std::shared_ptr<endpoint_connection> m_connection;
    std::shared_ptr<replacement_attempt> m_replacement; ///< Of the current attempt; null if there is none.
    time_point m_queuedAt {};
    boot_clock::duration m_queueTime {}; ///< Total time in the queue, over all attempts.
    boot_clock::duration m_longestGap {}; ///< Longest time between two relayed events.
    time_point m_attemptStartedAt {};
    time_point m_lastEventAt {};
    response_head m_wholeHead; ///< Of a response that is relayed only once it is complete.
    bool m_relayingEvents = false; ///< Whether the body of the current attempt is relayed event by event.
    std::string m_body; ///< Of such a response.
    const std::size_t m_partBytes; ///< Of the plan's prompt parts.
    memory_share m_heldMemory; ///< For the prompt parts, m_body and incomplete events.
    bool m_answerPaused = false; ///< The whole answer is not read on, as no memory is left.
    event_relay m_events;
    bool m_endpointLost = false; ///< The endpoint broke the current attempt off.
    int m_attemptStatus = 0; ///< Status of the response to the current attempt; 0 before its head.
    std::optional<time_point> m_firstByteAt;
};

} // namespace bronzechute
