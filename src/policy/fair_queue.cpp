#include "policy/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bronzechute {

fair_queue::fair_queue(const queue_settings &settings) : m_settings(settings)
{
}

queue_push_result fair_queue::push(queued_request request)
{
    if (m_settings.capacity == 0 || m_keys.contains(request.id)) {
        return {};
    }
    queue_push_result result;
    if (m_keys.size() >= m_settings.capacity) {
        const std::string victim = accountToEvictFrom(request);
        if (victim == request.account) {
            return {};
        }
        const auto &waiting = m_accounts.find(victim)->second.waiting;
        const auto newest = std::max_element(waiting.begin(), waiting.end(), [](const auto &left, const auto &right) {
            return left.first.second < right.first.second;
        });
        const request_id id = newest->second.id;
        result.displaced = remove(id);
    }
    account_queue &account = m_accounts[request.account];
    account.weight = std::max(1, request.weight);
    if (account.waiting.empty()) {
        account.virtualTime = std::max(account.virtualTime, m_virtualTime);
    }
    const queue_key where(-request.priority, m_sequence++);
    m_keys.emplace(request.id, std::pair(request.account, where));
    m_deadlines.emplace(std::pair(request.deadline, where.second), request.id);
    account.waiting.emplace(where, std::move(request));
    result.queued = true;
    return result;
}

std::string fair_queue::accountToEvictFrom(const queued_request &newRequest) const
{
    const auto own = m_accounts.find(newRequest.account);
    const std::size_t ownWaiting = own == m_accounts.end() ? 0 : own->second.waiting.size();
    std::string heaviest = newRequest.account;
    double heaviestRatio = (static_cast<double>(ownWaiting) + 1) / std::max(1, newRequest.weight);
    for (const auto &[name, account] : m_accounts) {
        const double ratio = static_cast<double>(account.waiting.size()) / account.weight;
        if (name != newRequest.account && ratio > heaviestRatio) {
            heaviest = name;
            heaviestRatio = ratio;
        }
    }
    return heaviest;
}

std::optional<int> fair_queue::nextPriority()
{
    std::optional<int> top;
    for (const auto &[name, account] : m_accounts) {
        if (!account.waiting.empty()) {
            top = std::min(top.value_or(0), account.waiting.begin()->first.first);
        }
    }
    if (!top) {
        return std::nullopt;
    }
    // The share reserved for lower priorities goes to the oldest request below the highest priority.
    std::optional<queue_key> oldestLower;
    for (const auto &[name, account] : m_accounts) {
        for (auto each = account.waiting.lower_bound(queue_key(*top + 1, 0)); each != account.waiting.end(); ++each) {
            if (!oldestLower || each->first.second < oldestLower->second) {
                oldestLower = each->first;
            }
        }
    }
    if (!oldestLower) {
        m_popsAtHighestPriority = 0;
        return top;
    }
    if (++m_popsAtHighestPriority >= m_settings.lowerPriorityInterval) {
        m_popsAtHighestPriority = 0;
        return oldestLower->first;
    }
    return top;
}

std::optional<time_point> fair_queue::latestStart(const queued_request &request, time_point now,
                                                  boot_clock::duration startInterval) const
{
    if (startInterval <= startInterval.zero()) {
        return request.deadline;
    }
    const int level = -request.priority;
    const position where = positionOf(request);
    auto wait = startInterval * (where.higher + where.same + 1);
    // Requests of other accounts or of a higher priority may still arrive and be served first. They do not show in the
    // present content of the queue, but in the recent pop intervals of the priority and of the account.
    wait = std::max(wait, popIntervalAt(m_popIntervals, level) * (where.same + 1));
    const auto own = m_accounts.find(request.account);
    if (own != m_accounts.end()) {
        wait = std::max(wait, popIntervalAt(own->second.popIntervals, level) * (waitingAt(own->second, level) + 1));
    }
    const boot_clock::duration left = request.deadline - now;
    if (wait > std::min(left, m_settings.longestWait)) {
        return std::nullopt;
    }
    return m_settings.longestWait < left / 2 ? now + m_settings.longestWait * 2 : request.deadline;
}

int fair_queue::waitingAt(const account_queue &account, int level)
{
    return static_cast<int>(std::distance(account.waiting.lower_bound(queue_key(level, 0)),
                                          account.waiting.lower_bound(queue_key(level + 1, 0))));
}

int fair_queue::waitingAt(int level) const
{
    int waiting = 0;
    for (const auto &[name, account] : m_accounts) {
        waiting += waitingAt(account, level);
    }
    return waiting;
}

/** @returns how many of the queued requests are served before a new one, if no other arrives. */
fair_queue::position fair_queue::positionOf(const queued_request &newRequest) const
{
    const int level = -newRequest.priority;
    const auto own = m_accounts.find(newRequest.account);
    double start = m_virtualTime;
    if (own != m_accounts.end()) {
        start = std::max(start, own->second.virtualTime)
            + static_cast<double>(waitingAt(own->second, level)) / std::max(1, newRequest.weight);
    }
    position result;
    int lower = 0; // Requests of this priority and below.
    for (const auto &[name, account] : m_accounts) {
        const auto first = account.waiting.lower_bound(queue_key(level, 0));
        const int same = waitingAt(account, level);
        const int higher = static_cast<int>(std::distance(account.waiting.begin(), first));
        const double ahead =
            std::floor((start - account.virtualTime) * account.weight) + 1; // Ties go to the older request.
        result.higher += higher;
        result.same += name == newRequest.account ? same : static_cast<int>(std::clamp<double>(ahead, 0, same));
        lower += static_cast<int>(account.waiting.size()) - higher;
    }
    // The share reserved for lower priorities limits how many higher ones are served before.
    result.higher = std::min(result.higher, (lower + 1) * m_settings.lowerPriorityInterval);
    return result;
}

queue_pop_result fair_queue::pop(time_point now)
{
    queue_pop_result result;
    result.expired = takeExpired(now);
    const auto level = nextPriority();
    if (!level) {
        return result;
    }
    account_queue *best = nullptr;
    std::map<queue_key, queued_request>::iterator next;
    for (auto &[name, account] : m_accounts) {
        const auto first = account.waiting.lower_bound(queue_key(*level, 0));
        if (first == account.waiting.end() || first->first.first != *level) {
            continue;
        }
        const bool older = best && first->first.second < next->first.second;
        if (!best || account.virtualTime < best->virtualTime || (account.virtualTime == best->virtualTime && older)) {
            best = &account;
            next = first;
        }
    }
    m_virtualTime = std::max(m_virtualTime, best->virtualTime);
    best->virtualTime += 1.0 / best->weight;
    const request_id id = next->second.id;
    result.next = remove(id);
    recordPop(best->popIntervals, *level, waitingAt(*best, *level), now);
    recordPop(m_popIntervals, *level, waitingAt(*level), now);
    removeIdleAccounts();
    return result;
}

void fair_queue::recordPop(pop_interval_table &popIntervals, int level, int waiting, time_point now)
{
    constexpr int smoothedPops = 8; // Few enough that the average adapts to an overload before the queue is full.
    if (waiting == 0) {
        return;
    }
    const auto [position, first] = popIntervals.try_emplace(level, pop_interval {.lastPopAt = now});
    pop_interval &known = position->second;
    if (!first) {
        known.interval += (now - known.lastPopAt - known.interval) / smoothedPops;
    }
    known.lastPopAt = now;
}

boot_clock::duration fair_queue::popIntervalAt(const pop_interval_table &popIntervals, int level)
{
    const auto found = popIntervals.find(level);
    return found == popIntervals.end() ? boot_clock::duration::zero() : found->second.interval;
}

std::vector<queued_request> fair_queue::takeExpired(time_point now)
{
    std::vector<queued_request> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first.first <= now) {
        const request_id id = m_deadlines.begin()->second;
        expired.push_back(remove(id));
    }
    return expired;
}

std::optional<queued_request> fair_queue::cancel(const request_id &id)
{
    if (!m_keys.contains(id)) {
        return std::nullopt;
    }
    return remove(id);
}

std::optional<time_point> fair_queue::nextDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first.first);
}

queued_request fair_queue::remove(const request_id &id)
{
    const auto found = m_keys.find(id);
    account_queue &account = m_accounts.find(found->second.first)->second;
    const auto entry = account.waiting.find(found->second.second);
    queued_request request = std::move(entry->second);
    account.waiting.erase(entry);
    m_deadlines.erase(std::pair(request.deadline, found->second.second.second));
    m_keys.erase(found);
    // The interval is only measured while requests wait. A stale one would cause later requests to be refused.
    const int level = -request.priority;
    if (waitingAt(account, level) == 0) {
        account.popIntervals.erase(level);
    }
    if (waitingAt(level) == 0) {
        m_popIntervals.erase(level);
    }
    return request;
}

void fair_queue::removeIdleAccounts()
{
    // An account ahead of the queue's virtual time is kept, because removing it would erase the service it has used.
    std::erase_if(m_accounts, [this](const auto &each) {
        return each.second.waiting.empty() && each.second.virtualTime <= m_virtualTime;
    });
}

} // namespace bronzechute
