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
 * Bounded queue of an endpoint process: higher priorities first, with a reserved share for lower ones, and weighted
 * fair queueing between the client accounts of a priority.
 *
 * Each account has a virtual time that advances by 1/weight with each of its requests that is popped; the account with
 * the lowest virtual time is next. An account that was idle starts at the queue's virtual time, so that idle time earns
 * no credit. When the queue is full, the account with the most waiting requests relative to its weight loses its newest
 * one.
 */
class fair_queue
{
public:
    explicit fair_queue(const queue_settings &settings = {});

    /** Adds a request. Refuses a request whose id is already queued. */
    queue_push_result push(queued_request request);

    /**
     * Decides whether a request that is not queued yet is worth queueing, which means that it is expected to start
     * before its deadline and within the longest wait. Refusing the others immediately keeps an overload from filling
     * the queue with requests that expire or are answered late.
     *
     * @param startInterval mean time between two starts over all accounts; zero when unknown. Every request may then
     *                      wait until its deadline.
     * @returns the latest start, or nothing when the request should be refused. The latest start is at most twice the
     *          longest wait away, because the estimate may be too low.
     */
    std::optional<time_point> latestStart(const queued_request &request, time_point now,
                                          boot_clock::duration startInterval) const;

    /** Removes the request to run next and every request whose deadline is at or before now. */
    queue_pop_result pop(time_point now);

    /** Removes and returns the requests whose deadline has passed. */
    std::vector<queued_request> takeExpired(time_point now);

    /** Removes a request. @returns the request, or nothing when it is not queued. */
    std::optional<queued_request> cancel(const request_id &id);

    /** @returns the earliest deadline, at which takeExpired() is due; nothing when the queue is empty. */
    std::optional<time_point> nextDeadline() const;

    std::size_t size() const
    {
        return m_keys.size();
    }

private:
    /** Negated priority and sequence number: orders higher priorities, then older requests first. */
    using queue_key = std::pair<int, std::uint64_t>;

    struct pop_interval
    {
        time_point lastPopAt;
        boot_clock::duration interval {}; ///< Smoothed time between pops that left requests waiting.
    };

    /** Key: negated priority. Only has priorities with waiting requests. */
    using pop_interval_table = std::map<int, pop_interval>;

    struct account_queue
    {
        double weight = 1;
        double virtualTime = 0;
        pop_interval_table popIntervals;
        std::map<queue_key, queued_request> waiting;
    };

    queued_request remove(const request_id &id);
    /** Number of queued requests that are served before a new one. */
    struct position
    {
        int higher = 0; ///< Those of a higher priority.
        int same = 0; ///< Those of the same priority.
    };

    position positionOf(const queued_request &newRequest) const;
    std::string accountToEvictFrom(const queued_request &newRequest) const;
    std::optional<int> nextPriority();
    static int waitingAt(const account_queue &account, int level);
    int waitingAt(int level) const;
    static void recordPop(pop_interval_table &popIntervals, int level, int waiting, time_point now);
    static boot_clock::duration popIntervalAt(const pop_interval_table &popIntervals, int level);
    void removeIdleAccounts();

    const queue_settings m_settings;
    std::map<std::string, account_queue, std::less<>> m_accounts;
    pop_interval_table m_popIntervals; ///< Over all accounts.
    std::unordered_map<request_id, std::pair<std::string, queue_key>> m_keys;
    std::map<std::pair<time_point, std::uint64_t>, request_id> m_deadlines; ///< By deadline and sequence.
    std::uint64_t m_sequence = 0;
    double m_virtualTime = 0;
    int m_popsAtHighestPriority = 0; ///< Consecutive pops of the highest priority while a lower one waited.
};

} // namespace bronzechute
