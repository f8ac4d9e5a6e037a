#pragma once

#include "policy/queue_pop_result.h"
#include "policy/queue_push_result.h"
#include "policy/queue_settings.h"
#include "policy/queued_request.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bronzechute {

/**
 * Bounded queue of an endpoint process: higher priority first with a reserved share for lower ones, and weighted fair
 * between the accounts of a priority.
 *
 * Each account has a virtual time that advances by 1/weight with each of its requests that is popped; the account with
 * the least virtual time is next. An account that was idle starts at the queue's virtual time, so that it does not save
 * up a claim. When the queue is full, the account with the most waiting requests for its weight gives up its newest.
 */
class fair_queue
{
public:
    explicit fair_queue(const queue_settings &settings = {});

    /** A request id that is already queued is refused. */
    queue_push_result push(queued_request request);

    /**
     * Decides whether a request that is not queued yet is worth queueing: it is expected to start before its deadline
     * and within the longest wait. Refusing the others at once keeps a flood from filling the queue with requests that
     * expire or are answered late.
     *
     * @param startInterval mean time between two starts of any account; zero when unknown, then every request is worth
     * queueing until its deadline.
     * @returns until when it may wait, at most twice the longest wait because the estimate may be too low, or nothing
     * when it is to be refused.
     */
    std::optional<time_point> latestStart(const queued_request &request, time_point now,
                                          boot_clock::duration startInterval) const;

    /** Removes the request to run next and every request whose deadline is at or before now. */
    queue_pop_result pop(time_point now);

    /** @returns the requests whose deadline has passed, removed from the queue. */
    std::vector<queued_request> takeExpired(time_point now);

    /** @returns the removed request, or nothing when it does not wait here. */
    std::optional<queued_request> cancel(const request_id &id);

    /** @returns the earliest deadline, when takeExpired() is due. */
    std::optional<time_point> nextDeadline() const;

    std::size_t size() const
    {
        return m_places.size();
    }

private:
    using place = std::pair<int, std::uint64_t>; ///< Negated priority and sequence: higher priority and older first.

    struct pace
    {
        time_point poppedAt;
        boot_clock::duration interval {}; ///< Smoothed, between pops that left requests waiting.
    };

    using pace_table = std::map<int, pace>; ///< By negated priority, of those with requests waiting.

    struct account_queue
    {
        double weight = 1;
        double virtualTime = 0;
        pace_table paces;
        std::map<place, queued_request> waiting;
    };

    queued_request remove(const request_id &id);
    struct position
    {
        int higher = 0; ///< Requests of a higher priority that are served before.
        int same = 0; ///< Requests of the same priority that are served before.
    };

    position positionOf(const queued_request &newcomer) const;
    std::string mostOverShare(const queued_request &newcomer) const;
    std::optional<int> nextPriority();
    static int waitingAt(const account_queue &account, int level);
    int waitingAt(int level) const;
    static void measurePace(pace_table &paces, int level, int waiting, time_point now);
    static boot_clock::duration intervalAt(const pace_table &paces, int level);
    void forgetIdleAccounts();

    const queue_settings m_settings;
    std::map<std::string, account_queue, std::less<>> m_accounts;
    pace_table m_paces; ///< Of all accounts together.
    std::unordered_map<request_id, std::pair<std::string, place>> m_places;
    std::map<std::pair<time_point, std::uint64_t>, request_id> m_deadlines; ///< By deadline and sequence.
    std::uint64_t m_sequence = 0;
    double m_virtualTime = 0;
    int m_popsAtTop = 0; ///< Pops of the highest priority in a row while a lower one waited.
};

} // namespace bronzechute
