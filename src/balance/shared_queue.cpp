#include "balance/shared_queue.h"

#include "balance/return_promise.h"

#include <algorithm>
#include <cmath>

namespace bronzechute {

namespace {

// Starts of which one is for a less urgent request while more urgent ones take all.
constexpr int priorityTurnInterval = 12;
// Starts of which one is for a caller that came back while first attempts take all. Others that could be in time wait
// for it, so that it is a small part.
constexpr int returnTurnInterval = 128;
constexpr std::chrono::milliseconds sharesInterval {100};
// Accounts are reported for this time after a refusal.
constexpr std::chrono::seconds pressureTime {10};
constexpr std::chrono::seconds second {1};

double perSecond(boot_clock::duration interval)
{
    return interval.count() > 0 ? 1.0 / std::chrono::duration<double>(interval).count() : 0.0;
}

} // namespace

shared_queue::shared_queue() : m_returnTurns(returnTurnInterval)
{
}

void shared_queue::setOthers(queue_summary others, int gateways)
{
    m_others = std::move(others);
    m_gateways = std::max(1, gateways);
    m_shares.setOthers(m_others.tokensByAccount, m_others.refusedByAccount);
}

void shared_queue::recordArrival(waiting_request &request, time_point now)
{
    m_turns.try_emplace(request.priority, priorityTurnInterval).first->second.recordDemand(now);
    updateShares(now);
    if (request.cameBack) {
        m_counts.cameBack += request.repeated ? 0 : 1;
        m_returnTurns.recordDemand(now);
        if (!m_overShare.contains(request.account) && request.expiresAt > now) {
            // The second half of its time is for a slot to become free.
            request.placeDeadline = now + (request.expiresAt - now) / 2;
        }
    }
    if (!request.returned) {
        m_firstAttempts[request.priority].record(now);
        m_arrivals.record(now);
    }
}

bool shared_queue::isUnderPressure(time_point now) const
{
    return !m_waiting.empty() || (m_pressureAt != time_point {} && now - m_pressureAt < pressureTime)
        || m_others.waiting > 0 || m_others.refusalsPerSecond > 0;
}

void shared_queue::updateShares(time_point now)
{
    if (now - m_sharesAt < sharesInterval) {
        return;
    }
    m_sharesAt = now;
    std::set<std::string> over = isUnderPressure(now) ? m_shares.overShare(now) : std::set<std::string> {};
    if (over != m_overShare) {
        m_overShare = std::move(over);
        m_waiting.setAccountsOverShare(m_overShare);
    }
}

std::set<int> shared_queue::duePriorities() const
{
    std::set<int> due;
    for (const auto &[priority, turns] : m_turns) {
        if (turns.isDue()) {
            due.insert(priority);
        }
    }
    return due;
}

std::size_t shared_queue::countAhead(const waiting_request &request, time_point now) const
{
    return m_waiting.countAhead(request, now, duePriorities());
}

boot_clock::duration shared_queue::firstAttemptInterval(int priority, time_point now) const
{
    double rate = 0;
    for (const auto &[each, attempts] : m_firstAttempts) {
        rate += each <= priority ? perSecond(attempts.interval(now)) : 0.0;
    }
    return rate > 0 ? std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(1.0 / rate))
                    : boot_clock::duration {};
}

bool shared_queue::hasPlace(const waiting_request &request, time_point now) const
{
    const auto placesAhead = static_cast<std::int64_t>(m_waiting.countPlacesAhead(request, now));
    const boot_clock::duration interval = m_completions.interval(now);
    const boot_clock::duration untilTurn =
        interval * (m_returnTurns.startsUntilTurn() + returnTurnInterval * placesAhead + 1);
    if (now + untilTurn <= request.expiresAt) {
        return true;
    }
    queue_state state;
    state.ahead = static_cast<std::size_t>(placesAhead);
    state.startInterval = interval;
    state.arrivalInterval = firstAttemptInterval(request.priority, now);
    state.leastLateShare = 0;
    return bronzechute::admit(state, request, now).admitted;
}

std::optional<boot_clock::duration> shared_queue::waitForTurn(int priority, time_point now) const
{
    const auto turns = m_turns.find(priority);
    if (turns == m_turns.end() || turns == m_turns.begin()) {
        return std::nullopt;
    }
    const auto before = static_cast<std::int64_t>(m_waiting.countOf(priority));
    return m_completions.interval(now) * (turns->second.startsUntilTurn() + priorityTurnInterval * before + 1);
}

admission_decision shared_queue::admit(waiting_request &request, bool anyUsable, std::size_t ownSlots,
                                       time_point now) const
{
    if (anyUsable && request.placeDeadline) {
        if (hasPlace(request, now)) {
            return {true, *request.placeDeadline - now};
        }
        request.placeDeadline.reset();
    }
    queue_state state;
    state.ahead = m_waiting.countAhead(request, now);
    state.startInterval = m_completions.interval(now);
    state.arrivalInterval = firstAttemptInterval(request.priority, now);
    state.anyUsable = anyUsable;
    state.ownSlots = ownSlots;
    if (!request.returned) {
        state.returnsPerSecond =
            static_cast<double>(m_promised.due(now, now + second) + m_others.promisedReturns) / m_gateways;
    }
    admission_decision decision = bronzechute::admit(state, request, now);
    if (!decision.admitted && anyUsable) {
        const auto wait = waitForTurn(request.priority, now);
        if (wait && now + *wait <= request.expiresAt) {
            decision = {true, *wait};
        }
    }
    return decision;
}

void shared_queue::push(waiting_request request)
{
    m_waiting.push(std::move(request));
}

std::optional<waiting_request> shared_queue::pop(time_point now)
{
    return m_waiting.pop(now, duePriorities());
}

std::vector<waiting_request> shared_queue::takeExpired(time_point now)
{
    return m_waiting.takeExpired(now);
}

bool shared_queue::erase(std::uint64_t ticket)
{
    return m_waiting.erase(ticket);
}

void shared_queue::recordStart(const waiting_request &request, time_point now)
{
    m_starts.record(now);
    if (!request.repeated) {
        m_shares.recordStarted(request.account, request.tokens, now);
    }
    m_returnTurns.recordStart(request.cameBack, now);
    for (auto &[priority, turns] : m_turns) {
        if (priority >= request.priority) {
            turns.recordStart(priority == request.priority, now);
        }
        m_counts.turns += priority < request.priority && m_waiting.countOf(priority) > 0 ? 1 : 0;
    }
    m_counts.places += request.placeDeadline ? 1 : 0;
    const double waitedMs = std::chrono::duration<double, std::milli>(now - request.arrivedAt).count();
    m_counts.inversions += m_others.waiting > 0 && m_others.longestWaitMs > waitedMs ? 1 : 0;
}

void shared_queue::recordRefusal(const waiting_request &request, bool forRoom, time_point now)
{
    m_refusals.record(now);
    m_pressureAt = now;
    if (forRoom) {
        m_shares.recordRefused(request.account, request.tokens, now);
    }
    ++m_counts.refused;
    m_counts.refusedAgain += request.cameBack ? 1 : 0;
}

void shared_queue::recordCompletion(time_point now)
{
    m_completions.record(now);
}

boot_clock::duration shared_queue::completionInterval(time_point now) const
{
    return m_completions.interval(now);
}

return_outlook shared_queue::outlook(time_point now) const
{
    const double starts = m_starts.count(now) + std::max(0.0, m_others.startsPerSecond);
    const double firstAttempts = m_arrivals.count(now) + std::max(0.0, m_others.arrivalsPerSecond);
    return_outlook outlook {std::max(starts - firstAttempts, starts / returnTurnInterval), m_promised.outlook(now)};
    constexpr std::size_t intervalsPerSecond = second / returnInterval;
    for (std::size_t index = 0; index < returnIntervals; ++index) {
        const std::size_t after = index / intervalsPerSecond;
        const int others = after == 0 ? m_others.promisedReturns : m_others.laterReturns.at(after - 1);
        double &promised = outlook.promised.at(index);
        // The others have told as many lately that this gateway has not heard of.
        promised = std::max(promised * m_gateways, promised + static_cast<double>(others) / intervalsPerSecond);
    }
    return outlook;
}

std::chrono::milliseconds shared_queue::promiseReturn(const return_terms &terms, time_point now,
                                                      std::mt19937_64 &random)
{
    const return_outlook expected = outlook(now);
    const bool isKnown = terms.cause == refusal_cause::overloaded && expected.startsPerSecond > 0;
    const std::chrono::milliseconds delay = isKnown
        ? bronzechute::promiseReturn(expected, terms.expectedWait, terms.latest, random).delay
        : retryDelay(terms.cause, terms.expectedWait, terms.latest, random);
    if (!terms.cameBack) {
        m_promised.record(now + delay, now);
    }
    return delay;
}

queue_summary shared_queue::summary(time_point now) const
{
    queue_summary own;
    own.waiting = static_cast<int>(m_waiting.size());
    own.waitingTokens = m_waiting.tokens();
    if (const auto oldest = m_waiting.oldestArrival()) {
        own.longestWaitMs = std::round(std::chrono::duration<double, std::milli>(now - *oldest).count());
    }
    own.waitingByRank = m_waiting.countByRank();
    own.startsPerSecond = m_starts.count(now);
    own.refusalsPerSecond = m_refusals.count(now);
    own.arrivalsPerSecond = m_arrivals.count(now);
    own.promisedReturns = m_promised.due(now, now + second);
    for (std::size_t after = 0; after < own.laterReturns.size(); ++after) {
        const time_point from = now + second * static_cast<std::int64_t>(after + 1);
        own.laterReturns.at(after) = m_promised.due(from, from + second);
    }
    if (isUnderPressure(now)) {
        own.tokensByAccount = m_shares.started(now);
        own.refusedByAccount = m_shares.refused(now);
    }
    return own;
}

room_state shared_queue::roomState(double room, const waiting_request &next) const
{
    if (m_others.waitingByRank.empty()) {
        return {room, 1, 0}; // The room is not divided, so that the own queue need not be counted.
    }
    const auto countUpTo = [last = m_waiting.rankOf(next)](const std::map<int, int> &byRank) {
        int count = 0;
        for (const auto &[rank, waiting] : byRank) {
            count += rank <= last ? waiting : 0;
        }
        return count;
    };
    return {room, countUpTo(m_waiting.countByRank()) + 1, countUpTo(m_others.waitingByRank)};
}

double shared_queue::fairness(time_point now) const
{
    return m_shares.fairness(now);
}

} // namespace bronzechute
