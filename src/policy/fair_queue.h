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
     * Whether a request that is not queued yet is expected to start before its deadline and within the longest wait.
     * Refusing the others at once keeps a flood from filling the queue with requests that expire or are answered late.
     *
     * @param startInterval mean time between two starts of any account; zero when unknown, then every request is worth
     * queueing.
     */
    bool startsInTime(const queued_request &request, time_point now, boot_clock::duration startInterval) const;

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

    struct account_queue
    {
        double weight = 1;
        double virtualTime = 0;
        std::map<int, pace> paces; ///< By negated priority, of those with requests waiting.
        std::map<place, queued_request> waiting;
    };

    queued_request remove(const request_id &id);
    std::size_t startsBefore(const queued_request &newcomer) const;
    std::string mostOverShare(const queued_request &newcomer) const;
    std::optional<int> nextPriority();
    static int waitingAt(const account_queue &account, int level);
    static void measurePace(account_queue &account, int level, time_point now);
    void forgetIdleAccounts();

    const queue_settings m_settings;
    std::map<std::string, account_queue, std::less<>> m_accounts;
    std::unordered_map<request_id, std::pair<std::string, place>> m_places;
    std::map<std::pair<time_point, std::uint64_t>, request_id> m_deadlines; ///< By deadline and sequence.
    std::uint64_t m_sequence = 0;
    double m_virtualTime = 0;
    int m_popsAtTop = 0; ///< Pops of the highest priority in a row while a lower one waited.
};

} // namespace bronzechute
