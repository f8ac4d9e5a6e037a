#include "balance/wait_queue.h"

#include <algorithm>
#include <tuple>

namespace bronzechute {

namespace {

// While lower priorities wait, one dispatch of this many is theirs: they keep a share, and the others lose little.
constexpr int lowerPriorityInterval = 12;

} // namespace

bool isServedBefore(const waiting_request &left, const waiting_request &right, time_point now)
{
    const auto rank = [now](const waiting_request &request) {
        const bool inTime = now <= request.latestOnTimeStart;
        const time_point order = inTime ? request.latestOnTimeStart : request.arrivedAt;
        return std::make_tuple(request.priority, !inTime, !inTime && !request.returned, order, request.ticket);
    };
    return rank(left) < rank(right);
}

void wait_queue::push(waiting_request request)
{
    m_waiting.push_back(std::move(request));
}

std::optional<waiting_request> wait_queue::pop(time_point now)
{
    auto first = std::ranges::min_element(m_waiting, [now](const waiting_request &left, const waiting_request &right) {
        return isServedBefore(left, right, now);
    });
    if (first == m_waiting.end()) {
        return std::nullopt;
    }
    const int priority = first->priority;
    const auto key = [priority](const waiting_request &request) {
        return std::make_tuple(request.priority == priority, request.arrivedAt, request.ticket);
    };
    const auto lower = std::ranges::min_element(m_waiting, {}, key);
    m_passedOverBefore = m_passedOver;
    if (lower->priority == priority) {
        m_passedOver = 0;
    } else if (++m_passedOver == lowerPriorityInterval) {
        first = lower;
        m_passedOver = 0;
    }
    waiting_request request = std::move(*first);
    m_waiting.erase(first);
    return request;
}

void wait_queue::putBack(waiting_request request)
{
    m_passedOver = m_passedOverBefore;
    push(std::move(request));
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

std::size_t wait_queue::countAhead(const waiting_request &request, time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_waiting, [&](const waiting_request &other) { return isServedBefore(other, request, now); }));
}

std::optional<time_point> wait_queue::nextExpiry() const
{
    const auto first = std::ranges::min_element(m_waiting, {}, &waiting_request::expiresAt);
    return first == m_waiting.end() ? std::nullopt : std::optional(first->expiresAt);
}

} // namespace bronzechute
