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
    if (m_settings.capacity == 0 || m_places.contains(request.id)) {
        return {};
    }
    queue_push_result result;
    if (m_places.size() >= m_settings.capacity) {
        const std::string loser = mostOverShare(request);
        if (loser == request.account) {
            return {};
        }
        const auto &waiting = m_accounts.find(loser)->second.waiting;
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
    const place where(-request.priority, m_sequence++);
    m_places.emplace(request.id, std::pair(request.account, where));
    m_deadlines.emplace(std::pair(request.deadline, where.second), request.id);
    account.waiting.emplace(where, std::move(request));
    result.queued = true;
    return result;
}

std::string fair_queue::mostOverShare(const queued_request &newcomer) const
{
    const auto own = m_accounts.find(newcomer.account);
    const std::size_t ownWaiting = own == m_accounts.end() ? 0 : own->second.waiting.size();
    std::string worst = newcomer.account;
    double worstRatio = (static_cast<double>(ownWaiting) + 1) / std::max(1, newcomer.weight);
    for (const auto &[name, account] : m_accounts) {
        const double ratio = static_cast<double>(account.waiting.size()) / account.weight;
        if (name != newcomer.account && ratio > worstRatio) {
            worst = name;
            worstRatio = ratio;
        }
    }
    return worst;
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
    // The reserved share goes to the oldest request below the highest priority.
    std::optional<place> oldestBelow;
    for (const auto &[name, account] : m_accounts) {
        for (auto each = account.waiting.lower_bound(place(*top + 1, 0)); each != account.waiting.end(); ++each) {
            if (!oldestBelow || each->first.second < oldestBelow->second) {
                oldestBelow = each->first;
            }
        }
    }
    if (!oldestBelow) {
        m_popsAtTop = 0;
        return top;
    }
    if (++m_popsAtTop >= m_settings.lowerShare) {
        m_popsAtTop = 0;
        return oldestBelow->first;
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
    // What is queued says nothing about the requests of other accounts, or of a higher priority, that will arrive and
    // be served first; the pace at which the priority and the account were served lately does.
    wait = std::max(wait, intervalAt(m_paces, level) * (where.same + 1));
    const auto own = m_accounts.find(request.account);
    if (own != m_accounts.end()) {
        wait = std::max(wait, intervalAt(own->second.paces, level) * (waitingAt(own->second, level) + 1));
    }
    const boot_clock::duration left = request.deadline - now;
    if (wait > std::min(left, m_settings.longestWait)) {
        return std::nullopt;
    }
    return m_settings.longestWait < left / 2 ? now + m_settings.longestWait * 2 : request.deadline;
}

int fair_queue::waitingAt(const account_queue &account, int level)
{
    return static_cast<int>(
        std::distance(account.waiting.lower_bound(place(level, 0)), account.waiting.lower_bound(place(level + 1, 0))));
}

int fair_queue::waitingAt(int level) const
{
    int waiting = 0;
    for (const auto &[name, account] : m_accounts) {
        waiting += waitingAt(account, level);
    }
    return waiting;
}

/** @returns how many of the queued requests are served before a newcomer, if no other arrives. */
fair_queue::position fair_queue::positionOf(const queued_request &newcomer) const
{
    const int level = -newcomer.priority;
    const auto own = m_accounts.find(newcomer.account);
    double start = m_virtualTime;
    if (own != m_accounts.end()) {
        start = std::max(start, own->second.virtualTime)
            + static_cast<double>(waitingAt(own->second, level)) / std::max(1, newcomer.weight);
    }
    position result;
    int lower = 0; // Of this priority and below.
    for (const auto &[name, account] : m_accounts) {
        const auto first = account.waiting.lower_bound(place(level, 0));
        const int same = waitingAt(account, level);
        const int higher = static_cast<int>(std::distance(account.waiting.begin(), first));
        const double ahead = std::floor((start - account.virtualTime) * account.weight) + 1; // Of equals, older first.
        result.higher += higher;
        result.same += name == newcomer.account ? same : static_cast<int>(std::clamp<double>(ahead, 0, same));
        lower += static_cast<int>(account.waiting.size()) - higher;
    }
    // The reserved share of the lower priorities bounds what goes before.
    result.higher = std::min(result.higher, (lower + 1) * m_settings.lowerShare);
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
    std::map<place, queued_request>::iterator next;
    for (auto &[name, account] : m_accounts) {
        const auto first = account.waiting.lower_bound(place(*level, 0));
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
    measurePace(best->paces, *level, waitingAt(*best, *level), now);
    measurePace(m_paces, *level, waitingAt(*level), now);
    forgetIdleAccounts();
    return result;
}

void fair_queue::measurePace(pace_table &paces, int level, int waiting, time_point now)
{
    constexpr int smoothing = 8; // Pops that count: the pace of a flood is known before its queue is full.
    if (waiting == 0) {
        return;
    }
    const auto [position, first] = paces.try_emplace(level, pace {.poppedAt = now});
    pace &known = position->second;
    if (!first) {
        known.interval += (now - known.poppedAt - known.interval) / smoothing;
    }
    known.poppedAt = now;
}

boot_clock::duration fair_queue::intervalAt(const pace_table &paces, int level)
{
    const auto found = paces.find(level);
    return found == paces.end() ? boot_clock::duration::zero() : found->second.interval;
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
    if (!m_places.contains(id)) {
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
    const auto found = m_places.find(id);
    account_queue &account = m_accounts.find(found->second.first)->second;
    const auto entry = account.waiting.find(found->second.second);
    queued_request request = std::move(entry->second);
    account.waiting.erase(entry);
    m_deadlines.erase(std::pair(request.deadline, found->second.second.second));
    m_places.erase(found);
    // Without requests that wait, the pace is no longer measured, and an old one would refuse whoever comes next.
    const int level = -request.priority;
    if (waitingAt(account, level) == 0) {
        account.paces.erase(level);
    }
    if (waitingAt(level) == 0) {
        m_paces.erase(level);
    }
    return request;
}

void fair_queue::forgetIdleAccounts()
{
    // An account ahead of the queue's virtual time is kept: forgetting it would refund what it has used.
    std::erase_if(m_accounts, [this](const auto &each) {
        return each.second.waiting.empty() && each.second.virtualTime <= m_virtualTime;
    });
}

} // namespace bronzechute
