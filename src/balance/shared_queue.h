#pragma once

#include "balance/account_shares.h"
#include "balance/admission.h"
#include "balance/completion_rate.h"
#include "balance/queue_summary.h"
#include "balance/recent_count.h"
#include "balance/return_schedule.h"
#include "balance/return_terms.h"
#include "balance/room_state.h"
#include "balance/share_counts.h"
#include "balance/turn_counter.h"
#include "balance/wait_queue.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace bronzechute {

/**
 * Queue of one service at a gateway, as its part of one queue over all gateways. It orders and admits by what the other
 * gateways have queued, placed, refused and promised, as their summaries tell; without summaries, the gateway decides
 * by itself alone. It has no clock and no connection of its own.
 *
 * Each request is passed to recordArrival(), to admit() if it is to wait, and then to recordStart() or recordRefusal().
 */
class shared_queue
{
public:
    shared_queue();

    /**
     * Sets what the other gateways have reported.
     * @param gateways number of all gateways, this one included
     */
    void setOthers(queue_summary others, int gateways);

    /** Records a request that arrives, and gives it a deadline if its caller has come back to a place. */
    void recordArrival(waiting_request &request, time_point now);

    /** @returns how many queued requests would be dispatched before this one. */
    std::size_t countAhead(const waiting_request &request, time_point now) const;

    /**
     * Decides whether a request may join the queue. One that came back loses its deadline if there is no place for it.
     * @param anyUsable whether the service has an endpoint that accepts requests
     * @param ownSlots this gateway's share of all slots of the service
     */
    admission_decision admit(waiting_request &request, bool anyUsable, std::size_t ownSlots, time_point now) const;

    void push(waiting_request request);

    /** Removes and returns the request to start next; nothing when the queue is empty. */
    std::optional<waiting_request> pop(time_point now);

    /** Removes and returns the requests that have expired. */
    std::vector<waiting_request> takeExpired(time_point now);

    /** Removes a request. @returns whether it was queued. */
    bool erase(std::uint64_t ticket);

    /** Records that a request was placed at an endpoint. */
    void recordStart(const waiting_request &request, time_point now);

    /** @param forRoom whether it was refused for lack of room, and not because no endpoint works or it cannot be served
     */
    void recordRefusal(const waiting_request &request, bool forRoom, time_point now);

    /** Records that a request has ended and its slot is free. */
    void recordCompletion(time_point now);

    /** @returns the mean time between two completions; zero when unknown. */
    boot_clock::duration completionInterval(time_point now) const;

    /** Chooses when a refused caller should come back, and counts it among those that are expected then. */
    std::chrono::milliseconds promiseReturn(const return_terms &terms, time_point now, std::mt19937_64 &random);

    /** @returns what the other gateways need to know. */
    queue_summary summary(time_point now) const;

    /**
     * @param room number of free slots
     * @param next request to start, which is not queued
     * @returns what decides whether it may start: the requests that wait for the room with it or before it
     */
    room_state roomState(double room, const waiting_request &next) const;

    /** @returns the requests that wait at the other gateways. */
    int waitingElsewhere() const
    {
        return m_others.waiting;
    }

    /** @returns Jain's index over the accounts' served share of what they asked for, over all gateways. */
    double fairness(time_point now) const;

    /** @returns the accounts that have had more than their share; empty unless requests are refused. */
    const std::set<std::string> &accountsOverShare() const
    {
        return m_overShare;
    }

    const share_counts &counts() const
    {
        return m_counts;
    }

    std::size_t size() const
    {
        return m_waiting.size();
    }

    bool empty() const
    {
        return m_waiting.empty();
    }

private:
    bool isUnderPressure(time_point now) const;
    void updateShares(time_point now);
    std::set<int> duePriorities() const;
    /** @returns the mean time between first attempts that go before late requests of this priority. */
    boot_clock::duration firstAttemptInterval(int priority, time_point now) const;
    /** @returns whether a caller that came back is expected to start by its deadline. */
    bool hasPlace(const waiting_request &request, time_point now) const;
    /** @returns the wait until a turn of the priority; nothing if it has no turns. */
    std::optional<boot_clock::duration> waitForTurn(int priority, time_point now) const;
    return_outlook outlook(time_point now) const;

    wait_queue m_waiting;
    completion_rate m_completions;
    std::map<int, completion_rate> m_firstAttempts; ///< By priority.
    std::map<int, turn_counter> m_turns; ///< By priority; the more urgent ones go before it.
    turn_counter m_returnTurns;
    recent_count m_starts;
    recent_count m_refusals;
    recent_count m_arrivals; ///< First attempts.
    return_schedule m_promised;
    account_shares m_shares;
    std::set<std::string> m_overShare;
    time_point m_sharesAt {};
    time_point m_pressureAt {}; ///< Of the last refusal.
    queue_summary m_others;
    int m_gateways = 1;
    share_counts m_counts;
};

} // namespace bronzechute
