#pragma once

#include "balance/return_time.h"
#include "gateway/caller_response.h"
#include "gateway/channel_observer.h"
#include "gateway/endpoint_channel.h"
#include "gateway/event_cutter.h"
#include "gateway/exchange_plan.h"
#include "gateway/gateway_context.h"
#include "gateway/gateway_request.h"
#include "gateway/placement_client.h"
#include "gateway/request_handler.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * One caller's request: waits for an endpoint, is sent to it, and relays the answer. What may have run is sent again
 * only where the route allows it.
 */
class gateway_exchange : public running_exchange,
                         public channel_observer,
                         public placement_client,
                         public std::enable_shared_from_this<gateway_exchange>
{
public:
    gateway_exchange(const gateway_context &context, gateway_request request, exchange_plan plan,
                     caller_response &response);

    void start();

    /** @returns whether the answer has ended. */
    bool ended() const
    {
        return m_ended;
    }

    void onCallerGone() override;
    void onCallerReady() override;

    void onPlaced(const gateway_endpoint_ptr &endpoint) override;
    void onRefused(refusal reason, boot_clock::duration expectedWait) override;
    std::span<const std::string> tried() const override;

    void onHead(answer_head head) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;
    void onFailure(const channel_failure &failure) override;
    bool wantsMore() const override;

private:
    /** How an attempt at an endpoint ended. */
    enum class attempt_end {
        answered,
        not_sent, ///< The endpoint was not reached.
        refused, ///< The endpoint says that it has not run the request.
        failed, ///< It may have run.
    };

    static const char *nameOf(attempt_end end);
    bool streaming() const;
    void requestPlacement();
    void send();
    void endAttempt(attempt_end end, const std::string &cause);
    void continueAfter(attempt_end end, const std::string &cause);
    bool mayTryAgain(attempt_end end) const;
    void relayEvents(std::string_view bytes);
    bool relayEvent(const raw_event &event);
    void completeStream();
    void completeWhole();
    void fail(int status, const std::string &outcome, std::chrono::milliseconds retryAfter);
    std::chrono::milliseconds returnTime(refusal_cause cause, boot_clock::duration expectedWait) const;
    void finishExchange(const std::string &outcome, int status);
    void startDeadline();
    std::chrono::milliseconds progressLimit() const;
    void startAttemptTimer();
    void onAttemptTimeout();
    void onDeadline();
    void recordFirstByte();

    const gateway_context &m_context;
    const gateway_request m_request;
    const exchange_plan m_plan;
    caller_response &m_response;
    const std::string m_id; ///< As the caller sent it; empty when it sent none.
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_attemptTimer;
    std::vector<std::string> m_tried; ///< Ids of endpoints, in order.
    int m_sends = 0; ///< Attempts of which a byte may have reached an endpoint.
    bool m_mayHaveRun = false;
    bool m_ended = false;
    std::optional<std::uint64_t> m_ticket; ///< While it waits.
    gateway_endpoint_ptr m_endpoint; ///< Of the attempt under way.
    std::shared_ptr<endpoint_channel> m_channel;
    time_point m_waitFrom {};
    boot_clock::duration m_waited {}; ///< In line, over all attempts.
    boot_clock::duration m_longestGap {}; ///< Between two events.
    time_point m_attemptAt {};
    time_point m_lastEventAt {};
    answer_head m_head;
    bool m_headRelayed = false;
    bool m_relaying = false; ///< The body of the attempt under way is relayed as it arrives.
    std::string m_body; ///< Of an answer that is relayed whole.
    event_cutter m_cutter;
    std::optional<std::int64_t> m_lastEventId;
    std::int64_t m_eventsRelayed = 0;
    std::optional<time_point> m_firstByteAt;
};

} // namespace bronzechute
