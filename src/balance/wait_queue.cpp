#include "balance/wait_queue.h"

#include "balance/queue_summary.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace bronzechute {

namespace {

bool hasDeadline(const waiting_request &request, time_point now)
{
    return request.placeDeadline || now <= request.latestOnTimeStart;
}

} // namespace

bool isServedBefore(const waiting_request &left, const waiting_request &right, time_point now)
{
    const auto rank = [now](const waiting_request &request) {
        const bool isLate = !hasDeadline(request, now);
        const time_point deadline = request.placeDeadline.value_or(request.latestOnTimeStart);
        return std::make_tuple(request.priority, isLate, isLate && !request.returned,
                               isLate ? request.arrivedAt : deadline, request.ticket);
    };
    return rank(left) < rank(right);
}

bool wait_queue::isBefore(const waiting_request &left, const waiting_request &right, time_point now,
                          const std::set<int> &due) const
{
    const auto rank = [&](const waiting_request &request) {
        return std::make_tuple(!due.contains(request.priority), request.priority,
                               m_accountsOverShare.contains(request.account));
    };
    const auto leftRank = rank(left);
    const auto rightRank = rank(right);
    return leftRank != rightRank ? leftRank < rightRank : isServedBefore(left, right, now);
}

void wait_queue::push(waiting_request request)
{
    m_waiting.push_back(std::move(request));
}

void wait_queue::setAccountsOverShare(std::set<std::string> accounts)
{
    m_accountsOverShare = std::move(accounts);
}

std::optional<waiting_request> wait_queue::pop(time_point now, const std::set<int> &due)
{
    const auto first =
        std::ranges::min_element(m_waiting, [&](const waiting_request &left, const waiting_request &right) {
            return isBefore(left, right, now, due);
        });
    if (first == m_waiting.end()) {
        return std::nullopt;
    }
    waiting_request request = std::move(*first);
    m_waiting.erase(first);
    return request;
}

std::vector<waiting_request> wait_queue::takeExpired(time_point now)
{
    std::vector<waiting_request> expired;
    std::erase_if(m_waiting, [&](waiting_request &request) {
        if (request.expiresAt > now) {
            return false;
        }
        expired.push_back(std::move(request));
        return true;
    });
    return expired;
}

bool wait_queue::erase(std::uint64_t ticket)
{
    return std::erase_if(m_waiting, [ticket](const waiting_request &request) { return request.ticket == ticket; }) > 0;
}

std::size_t wait_queue::countAhead(const waiting_request &request, time_point now, const std::set<int> &due) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_waiting, [&](const waiting_request &other) { return isBefore(other, request, now, due); }));
}

std::size_t wait_queue::countPlacesAhead(const waiting_request &request, time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_waiting, [&](const waiting_request &other) {
        return other.placeDeadline && isBefore(other, request, now, {});
    }));
}

int wait_queue::rankOf(const waiting_request &request) const
{
    return orderRank(request.priority, m_accountsOverShare.contains(request.account));
}

std::map<int, int> wait_queue::countByRank() const
{
    std::map<int, int> counts;
    for (const waiting_request &request : m_waiting) {
        ++counts[rankOf(request)];
    }
    return counts;
}

std::size_t wait_queue::countOf(int priority) const
{
    return static_cast<std::size_t>(std::ranges::count(m_waiting, priority, &waiting_request::priority));
}

std::int64_t wait_queue::tokens() const
{
    return std::accumulate(m_waiting.begin(), m_waiting.end(), std::int64_t {0},
                           [](std::int64_t sum, const waiting_request &each) { return sum + each.tokens; });
}

std::optional<time_point> wait_queue::oldestArrival() const
{
    const auto oldest = std::ranges::min_element(m_waiting, {}, &waiting_request::arrivedAt);
    return oldest == m_waiting.end() ? std::nullopt : std::optional(oldest->arrivedAt);
}

std::optional<time_point> wait_queue::nextExpiry() const
{
    const auto first = std::ranges::min_element(m_waiting, {}, &waiting_request::expiresAt);
    return first == m_waiting.end() ? std::nullopt : std::optional(first->expiresAt);
}

} // namespace bronzechute
