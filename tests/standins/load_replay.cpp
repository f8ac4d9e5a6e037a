#include "standins/load_replay.h"

#include "balance/placement.h"
#include "balance/retry_delay.h"
#include "balance/room_share.h"
#include "balance/shared_queue.h"
#include "balance/start_deadlines.h"
#include "gateway/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numbers>
#include <optional>
#include <queue>
#include <random>

namespace bronzechute::standins {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t endpointCount = 8;
constexpr int slots = 12;
constexpr int accounts = 10;
constexpr int floodingAccount = 0;
constexpr std::size_t crowdedPart = 4;
constexpr milliseconds length = 12s;
constexpr milliseconds wavePeriod = 6s;
constexpr milliseconds outageStart = 3s;
constexpr milliseconds usualPrompt = 40ms; ///< Time until the first event of a request that runs.
constexpr int largeFactor = 8;
constexpr milliseconds answerTime = 560ms; ///< From the first event to the last.
constexpr milliseconds firstEventTarget = 400ms;
constexpr milliseconds usualFirstEvent = 220ms; ///< As the gateway expects it.
constexpr milliseconds callerPatience = 2s; ///< Without a first event.
constexpr milliseconds callerDeadline = 8s;
constexpr milliseconds reportDelay = 40ms; ///< Between gateways.
constexpr milliseconds checkInterval = 10ms;
constexpr milliseconds pausePeriod = 3s;
constexpr milliseconds pauseTime = 1s;
constexpr milliseconds pauseGrace = 500ms; ///< After which a pause allows two requests.
constexpr int pauseTolerance = 2;
constexpr milliseconds suspectTime = 250ms; ///< For which a gateway prefers others to an endpoint that refused.
constexpr int mostSends = 3; ///< Of one try, to endpoints that refuse.
constexpr const char *serviceName = "service";
constexpr milliseconds summaryInterval = 250ms;
constexpr int returnShare = 3; ///< Callers use a third of their time at most until they return.

/** A caller's request over all its tries. */
struct caller
{
    time_point firstTry;
    int account = 0;
    bool urgent = false;
    bool large = false;
    bool impatient = false;
    bool leaves = false;
    int triesLeft = 1;
    std::size_t gateway = 0;
    time_point triedAt;
    int attempt = 0; ///< Counts tries; what belongs to an earlier one is void.
    int refusedSends = 0; ///< Of this try.
    waiting_request request; ///< Of this try.
    bool placed = false;
    bool done = false;
};

/** Requests, and those among them that got something. */
struct share_of
{
    double whole = 0;
    double part = 0;

    void add(bool counts)
    {
        whole += 1;
        part += counts ? 1 : 0;
    }

    double value() const
    {
        return whole == 0 ? 0 : part / whole;
    }
};

struct emulated_endpoint
{
    int running = 0;
    bool gone = false;
    time_point pausedUntil;
    double slowness = 1;
    std::deque<std::size_t> queue; ///< Callers, with the policy without lines.
};

/** One gateway's own view. */
struct emulated_gateway
{
    shared_queue line;
    room_share room;
    queue_summary summary; ///< As the others know it.
    std::map<std::uint64_t, std::size_t> waiting; ///< Caller by ticket.
    std::vector<int> own = std::vector<int>(endpointCount); ///< Requests under way.
    std::vector<int> reported = std::vector<int>(endpointCount); ///< As the others know them.
    std::vector<time_point> avoidUntil = std::vector<time_point>(endpointCount);
    bool checking = false;
    endpoint_table table {"here"}; ///< Holds what the endpoints have said.
    std::vector<time_point> toldAt = std::vector<time_point>(endpointCount); ///< Of the first refusal in a pause.
    std::vector<int> unwanted = std::vector<int>(endpointCount); ///< Requests in the pause that count.
};

class replay
{
public:
    replay(const replay_pattern &pattern, replay_policy policy, std::uint64_t seed)
        : m_pattern(pattern), m_policy(policy), m_random(seed), m_endpoints(endpointCount), m_gateways(pattern.gateways)
    {
        for (emulated_gateway &gateway : m_gateways) {
            for (std::size_t index = 0; index < endpointCount; ++index) {
                endpoint_record record;
                record.id = std::to_string(index);
                record.service = serviceName;
                gateway.table.update(record);
            }
        }
    }

    replay_result play();

private:
    void at(time_point time, std::function<void()> action)
    {
        m_events.push({time, m_order++, std::move(action)});
    }

    double capacity() const;
    bool usesBalance() const
    {
        return m_policy == replay_policy::bronzechute || m_policy == replay_policy::refuse_in_outage;
    }
    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void arrive(double rate, time_point until, int account);
    void submit(std::size_t id);
    void refuse(const waiting_request &request, std::size_t id, refusal_cause cause, boot_clock::duration wait,
                const char *reason);
    std::optional<std::size_t> choose(emulated_gateway &gateway, const waiting_request &request);
    void start(const waiting_request &request, std::size_t id, std::size_t endpoint);
    void place(std::size_t id, std::size_t endpoint);
    void begin(std::size_t id, std::size_t endpoint, int attempt);
    void schedulePauses();
    /** The endpoint pauses: it refuses the request, which is sent to another one. */
    void turnAway(std::size_t id, std::size_t endpoint);
    void countAfterPause(const emulated_endpoint &endpoint);
    void submitAgain(std::size_t id, std::size_t endpoint, boot_clock::duration suspect);
    void release(std::size_t gateway, std::size_t endpoint);
    void serveLine(std::size_t gateway);
    void check(std::size_t gateway);
    void report(std::size_t gateway);
    void exchangeSummaries();
    replay_result summarize() const;

    struct event
    {
        time_point time;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    const replay_pattern &m_pattern;
    const replay_policy m_policy;
    std::mt19937_64 m_random;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_ticket = 0;
    time_point m_now {1h};
    const time_point m_start {1h};
    bool m_closed = false; ///< All gateways know that no endpoint takes requests.
    std::vector<emulated_endpoint> m_endpoints;
    std::vector<emulated_gateway> m_gateways;
    std::vector<caller> m_callers;
    std::map<std::size_t, milliseconds> m_firstEvents; ///< Of answered callers, from their first try on.
    std::map<std::string, int> m_refusals;
    int m_turnedAway = 0;
    int m_unwanted = 0;
    std::map<time_point, int> m_afterPause; ///< Requests soon after a pause, by its end.
    int m_cameBack = 0;
    int m_refusedAgain = 0;
};

double replay::capacity() const
{
    double perSecond = 0;
    const double mean = static_cast<double>(usualPrompt.count()) * (1 + (largeFactor - 1) * m_pattern.largeShare)
        + static_cast<double>(answerTime.count());
    for (std::size_t index = 0; index < endpointCount; ++index) {
        const double slowness = static_cast<int>(index) < m_pattern.slowEndpoints ? 2 : 1;
        perSecond += slots * 1000.0 / (mean * slowness);
    }
    return perSecond;
}

replay_result replay::play()
{
    const double perSecond = capacity();
    for (int index = 0; index < m_pattern.slowEndpoints; ++index) {
        m_endpoints[static_cast<std::size_t>(index)].slowness = 2;
    }
    if (m_pattern.outage.count() > 0) {
        at(m_start + outageStart, [this] { m_closed = true; });
        at(m_start + outageStart + m_pattern.outage, [this] { m_closed = false; });
    }
    const time_point third = m_start + length / 3;
    const time_point secondThird = m_start + 2 * length / 3;
    at(m_start, [=, this] { arrive(perSecond * m_pattern.load, m_start + length, -1); });
    if (m_pattern.burstLoad > 0) {
        at(third, [=, this] { arrive(perSecond * (m_pattern.burstLoad - m_pattern.load), secondThird, -1); });
    }
    if (m_pattern.floodShare > 0) {
        at(m_start, [=, this] { arrive(perSecond * m_pattern.floodShare, m_start + length, floodingAccount); });
    }
    for (int index = 0; index < m_pattern.goneEndpoints; ++index) {
        emulated_endpoint &endpoint = m_endpoints[endpointCount - 1 - static_cast<std::size_t>(index)];
        at(third, [&endpoint] { endpoint.gone = true; });
        at(secondThird, [&endpoint] { endpoint.gone = false; });
    }
    schedulePauses();
    at(m_start, [this] { exchangeSummaries(); });
    while (!m_events.empty()) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.time;
        next.action();
    }
    return summarize();
}

void replay::schedulePauses()
{
    for (int index = 0; index < m_pattern.pausingEndpoints; ++index) {
        emulated_endpoint &endpoint = m_endpoints[static_cast<std::size_t>(index)];
        const milliseconds offset =
            m_pattern.pauseTogether ? milliseconds(0) : pausePeriod * index / m_pattern.pausingEndpoints;
        for (time_point begin = m_start + pauseTime + offset; begin < m_start + length; begin += pausePeriod) {
            at(begin, [&endpoint, begin] { endpoint.pausedUntil = begin + pauseTime; });
        }
    }
}

void replay::arrive(double rate, time_point until, int account)
{
    if (m_now >= until) {
        return;
    }
    caller next;
    next.firstTry = m_now;
    next.account = account >= 0 ? account : static_cast<int>(m_random() % accounts);
    next.urgent = chance(m_pattern.urgentShare);
    next.large = chance(m_pattern.largeShare);
    next.impatient = chance(m_pattern.impatientShare);
    next.leaves = chance(m_pattern.leavingShare);
    next.triesLeft = next.impatient ? 3 : 1;
    m_callers.push_back(next);
    submit(m_callers.size() - 1);
    const double periods = std::chrono::duration<double>(m_now - m_start) / std::chrono::duration<double>(wavePeriod);
    const double present = rate * (1 + m_pattern.waveSwing * std::sin(2 * std::numbers::pi * periods));
    const double pause = std::exponential_distribution<double>(present)(m_random);
    at(m_now + std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(pause)),
       [=, this] { arrive(rate, until, account); });
}

void replay::submit(std::size_t id)
{
    caller &each = m_callers[id];
    const bool returned = each.attempt > 0;
    ++each.attempt;
    each.triedAt = m_now;
    each.placed = false;
    each.gateway = m_random() % m_gateways.size();
    if (chance(m_pattern.crowdedShare)) {
        each.gateway %= std::max<std::size_t>(1, m_gateways.size() / crowdedPart);
    }
    // The caller gives up without a first event, or leaves earlier.
    at(m_now + (each.leaves ? milliseconds(m_random() % 500) : callerPatience), [=, this, attempt = each.attempt] {
        caller &left = m_callers[id];
        if (!left.done && left.attempt == attempt && !m_firstEvents.contains(id)) {
            ++left.attempt;
            left.done = true;
        }
    });
    emulated_gateway &gateway = m_gateways[each.gateway];
    if (m_policy == replay_policy::least_requests) {
        place(id, *choose(gateway, {}));
        return;
    }
    waiting_request request;
    request.ticket = ++m_ticket;
    request.priority = m_policy == replay_policy::fifo || each.urgent ? 0 : 1;
    request.account = std::to_string(each.account);
    request.arrivedAt = m_now;
    request.returned = returned;
    request.cameBack = returned;
    request.tokens = each.large ? largeFactor : 1;
    const start_deadlines useful = startDeadlines({returned ? m_now : each.firstTry, firstEventTarget, usualFirstEvent,
                                                   each.firstTry + callerDeadline, returned, m_closed},
                                                  m_now);
    request.latestOnTimeStart = useful.latestOnTimeStart;
    request.expiresAt = useful.expiresAt;
    if (m_policy == replay_policy::fifo) {
        request.returned = false;
        request.cameBack = false;
        request.latestOnTimeStart = {};
        request.expiresAt = m_now + callerDeadline;
    }
    gateway.line.recordArrival(request, m_now);
    if (m_policy == replay_policy::refuse_in_outage && m_closed && !returned) {
        refuse(request, id, refusal_cause::unavailable, {}, "no_endpoint");
        return;
    }
    each.request = request;
    const time_point roomAt = gateway.table.earliestRoom(serviceName, m_now);
    if (usesBalance() && roomAt > request.expiresAt) {
        refuse(request, id, refusal_cause::unavailable, roomAt - m_now, "all_pause");
        return;
    }
    if (gateway.line.countAhead(request, m_now) == 0) {
        if (const auto endpoint = choose(gateway, request)) {
            start(request, id, *endpoint);
            return;
        }
    }
    const bool closed = m_closed || roomAt > m_now;
    const admission_decision decision =
        gateway.line.admit(request, !closed, endpointCount * slots / m_gateways.size(), m_now);
    if (usesBalance() && !decision.admitted) {
        refuse(request, id, closed ? refusal_cause::unavailable : refusal_cause::overloaded,
               std::max(decision.expectedWait, roomAt - m_now), "line_too_long");
        return;
    }
    gateway.waiting[request.ticket] = id;
    gateway.line.push(request);
    check(each.gateway);
}

void replay::refuse(const waiting_request &request, std::size_t id, refusal_cause cause, boot_clock::duration wait,
                    const char *reason)
{
    caller &each = m_callers[id];
    shared_queue &line = m_gateways[each.gateway].line;
    line.recordRefusal(request, cause == refusal_cause::overloaded, m_now);
    ++m_refusals[reason];
    m_refusedAgain += each.attempt > 1 ? 1 : 0;
    ++each.attempt;
    each.refusedSends = 0;
    const auto left = each.firstTry + callerDeadline - m_now;
    if (each.triesLeft == 0 || left < callerPatience) {
        each.done = true;
        return;
    }
    --each.triesLeft;
    const milliseconds told = line.promiseReturn({cause, wait, left / returnShare, request.cameBack}, m_now, m_random);
    at(m_now + (each.impatient ? milliseconds(20) : told), [=, this] {
        if (!m_callers[id].done) {
            ++m_cameBack;
            submit(id);
        }
    });
}

std::optional<std::size_t> replay::choose(emulated_gateway &gateway, const waiting_request &request)
{
    std::vector<endpoint_view> views(endpointCount);
    for (std::size_t index = 0; index < endpointCount; ++index) {
        views[index].slots = slots;
        const gateway_endpoint &known = *gateway.table.all().at(std::to_string(index));
        views[index].usable = !m_closed && endpoint_table::wantsRequests(known, m_now);
        views[index].running = gateway.own[index];
        for (const emulated_gateway &other : m_gateways) {
            views[index].running += &other == &gateway ? 0 : other.reported[index];
        }
        views[index].suspect = m_now < gateway.avoidUntil[index];
        views[index].gapMs = 20 * m_endpoints[index].slowness;
        if (!usesBalance()) {
            views[index].gapMs = 0;
            views[index].suspect = false;
        }
    }
    constexpr int anyNumber = 1000000;
    const auto chosen = placeRequest(views, m_policy == replay_policy::least_requests ? anyNumber : 0, m_random);
    double room = 0;
    for (const endpoint_view &view : views) {
        room += view.usable ? std::max(0, view.slots - view.running) : 0;
    }
    if (usesBalance() && !gateway.room.allows(gateway.line.roomState(room, request), m_now, m_random)) {
        return std::nullopt;
    }
    return chosen;
}

void replay::start(const waiting_request &request, std::size_t id, std::size_t endpoint)
{
    emulated_gateway &gateway = m_gateways[m_callers[id].gateway];
    gateway.room.recordTaken();
    gateway.line.recordStart(request, m_now);
    place(id, endpoint);
}

void replay::place(std::size_t id, std::size_t endpoint)
{
    caller &each = m_callers[id];
    each.placed = true;
    ++m_gateways[each.gateway].own[endpoint];
    report(each.gateway);
    if (m_now < m_endpoints[endpoint].pausedUntil) {
        turnAway(id, endpoint);
        return;
    }
    countAfterPause(m_endpoints[endpoint]);
    begin(id, endpoint, each.attempt);
}

void replay::begin(std::size_t id, std::size_t endpoint, int attempt)
{
    caller &each = m_callers[id];
    emulated_endpoint &target = m_endpoints[endpoint];
    const std::size_t gateway = each.gateway;
    if (target.gone) {
        submitAgain(id, endpoint, 1s);
        return;
    }
    if (target.running >= slots) {
        target.queue.push_back(id);
        return;
    }
    ++target.running;
    const auto scaled = [&target](milliseconds time) {
        return std::chrono::duration_cast<boot_clock::duration>(time * target.slowness);
    };
    const auto prompt = scaled(usualPrompt * (each.large ? largeFactor : 1));
    const auto finish = [=, this] {
        --m_endpoints[endpoint].running;
        release(gateway, endpoint);
    };
    at(m_now + prompt, [=, this] {
        caller &started = m_callers[id];
        if (started.attempt != attempt || started.done) {
            finish(); // The caller has gone meanwhile.
            return;
        }
        m_firstEvents[id] = std::chrono::duration_cast<milliseconds>(m_now - started.firstTry);
        at(m_now + scaled(answerTime), [=, this] {
            m_callers[id].done = true;
            finish();
        });
    });
}

void replay::submitAgain(std::size_t id, std::size_t endpoint, boot_clock::duration suspect)
{
    caller &each = m_callers[id];
    --m_gateways[each.gateway].own[endpoint];
    m_gateways[each.gateway].room.recordFreed();
    m_gateways[each.gateway].avoidUntil[endpoint] = m_now + suspect;
    const int attempt = --each.attempt;
    at(m_now + 2ms, [=, this] {
        if (!m_callers[id].done && m_callers[id].attempt == attempt) {
            submit(id);
        }
    });
}

void replay::turnAway(std::size_t id, std::size_t endpoint)
{
    caller &each = m_callers[id];
    emulated_gateway &gateway = m_gateways[each.gateway];
    const time_point pauseEnd = m_endpoints[endpoint].pausedUntil;
    ++m_turnedAway;
    if (gateway.toldAt[endpoint] <= pauseEnd - pauseTime) {
        gateway.toldAt[endpoint] = m_now;
        gateway.unwanted[endpoint] = 0;
    } else if (m_now > gateway.toldAt[endpoint] + pauseGrace && ++gateway.unwanted[endpoint] > pauseTolerance) {
        ++m_unwanted;
    }
    if (m_pattern.readsPauses) {
        endpoint_statement statement;
        statement.pause = std::chrono::ceil<milliseconds>(pauseEnd - m_now);
        gateway.table.recordStatement(*gateway.table.all().at(std::to_string(endpoint)), statement, m_now, m_random);
    }
    if (++each.refusedSends < mostSends) {
        submitAgain(id, endpoint, suspectTime);
        return;
    }
    --gateway.own[endpoint];
    gateway.room.recordFreed();
    gateway.avoidUntil[endpoint] = m_now + suspectTime;
    const time_point roomAt = gateway.table.earliestRoom(serviceName, m_now);
    refuse(each.request, id, refusal_cause::unavailable, roomAt - m_now, "refused_by_endpoints");
}

void replay::countAfterPause(const emulated_endpoint &endpoint)
{
    const bool hasPaused = endpoint.pausedUntil > m_start;
    if (hasPaused && m_now < endpoint.pausedUntil + 100ms) {
        ++m_afterPause[endpoint.pausedUntil];
    }
}

void replay::release(std::size_t gateway, std::size_t endpoint)
{
    --m_gateways[gateway].own[endpoint];
    emulated_gateway &own = m_gateways[gateway];
    own.line.recordCompletion(m_now);
    own.room.recordFreed();
    report(gateway);
    emulated_endpoint &target = m_endpoints[endpoint];
    while (!target.queue.empty() && target.running < slots) {
        const std::size_t id = target.queue.front();
        target.queue.pop_front();
        const caller &next = m_callers[id];
        if (next.done) {
            --m_gateways[next.gateway].own[endpoint];
        } else {
            begin(id, endpoint, next.attempt);
        }
    }
    serveLine(gateway);
}

void replay::serveLine(std::size_t index)
{
    emulated_gateway &gateway = m_gateways[index];
    for (const waiting_request &expired : gateway.line.takeExpired(m_now)) {
        const std::size_t id = gateway.waiting.at(expired.ticket);
        gateway.waiting.erase(expired.ticket);
        if (!m_callers[id].done) {
            refuse(expired, id, m_closed ? refusal_cause::unavailable : refusal_cause::overloaded, {},
                   "waited_too_long");
        }
    }
    while (!gateway.line.empty()) {
        const auto request = gateway.line.pop(m_now);
        const std::size_t id = gateway.waiting.at(request->ticket);
        if (m_callers[id].done) {
            gateway.waiting.erase(request->ticket);
            continue;
        }
        const auto endpoint = choose(gateway, *request);
        if (!endpoint) {
            gateway.line.push(*request);
            return;
        }
        gateway.waiting.erase(request->ticket);
        start(*request, id, *endpoint);
    }
}

void replay::check(std::size_t index)
{
    emulated_gateway &gateway = m_gateways[index];
    if (gateway.checking) {
        return;
    }
    gateway.checking = true;
    at(m_now + checkInterval, [=, this] {
        m_gateways[index].checking = false;
        serveLine(index);
        if (!m_gateways[index].line.empty()) {
            check(index);
        }
    });
}

void replay::report(std::size_t index)
{
    at(m_now + reportDelay, [=, this] { m_gateways[index].reported = m_gateways[index].own; });
}

void replay::exchangeSummaries()
{
    queue_summary all;
    for (const emulated_gateway &gateway : m_gateways) {
        all += gateway.summary;
    }
    for (emulated_gateway &gateway : m_gateways) {
        queue_summary others = all;
        others -= gateway.summary;
        gateway.line.setOthers(std::move(others), static_cast<int>(m_gateways.size()));
    }
    for (emulated_gateway &gateway : m_gateways) {
        gateway.summary = gateway.line.summary(m_now);
    }
    if (usesBalance() && m_now < m_start + length + callerDeadline) {
        at(m_now + summaryInterval, [this] { exchangeSummaries(); });
    }
}

replay_result replay::summarize() const
{
    replay_result result;
    result.capacity = capacity();
    result.refusals = m_refusals;
    result.turnedAway = m_turnedAway;
    result.unwanted = m_unwanted;
    for (const auto &[end, count] : m_afterPause) {
        result.firstAfterPause = std::max(result.firstAfterPause, count);
    }
    result.cameBack = m_cameBack;
    result.refusedAgain = m_refusedAgain;
    const double seconds = std::chrono::duration<double>(length).count();
    std::vector<share_of> byAccount(accounts);
    share_of all;
    share_of inTime;
    share_of urgent;
    share_of urgentInTime;
    share_of others;
    share_of large;
    share_of unflooded;
    std::vector<milliseconds> times;
    for (std::size_t id = 0; id < m_callers.size(); ++id) {
        const caller &each = m_callers[id];
        if (each.leaves) {
            continue;
        }
        const auto first = m_firstEvents.find(id);
        const bool answered = first != m_firstEvents.end();
        const bool timely = answered && first->second <= firstEventTarget;
        all.add(answered);
        inTime.add(timely);
        (each.urgent ? urgent : others).add(answered);
        if (each.urgent) {
            urgentInTime.add(timely);
        }
        if (each.large) {
            large.add(answered);
        }
        if (each.account != floodingAccount) {
            unflooded.add(timely);
        }
        byAccount[static_cast<std::size_t>(each.account)].add(answered);
        if (answered) {
            times.push_back(first->second);
        }
    }
    std::ranges::sort(times);
    result.offered = static_cast<double>(m_callers.size()) / seconds;
    result.goodput = inTime.part / seconds / result.capacity;
    result.served = all.value();
    result.inAim = inTime.value();
    result.worth = (result.inAim + result.served) / 2;
    result.servedUrgent = urgent.value();
    result.servedOthers = others.value();
    result.inTimeUrgent = urgentInTime.value();
    result.servedLarge = large.value();
    result.unfloodedInTime = unflooded.value();
    result.leastUnflooded = 1;
    double sum = 0;
    double squares = 0;
    for (std::size_t account = 0; account < byAccount.size(); ++account) {
        const double share = byAccount[account].value();
        if (static_cast<int>(account) != floodingAccount) {
            result.leastUnflooded = std::min(result.leastUnflooded, share);
        }
        sum += share;
        squares += share * share;
    }
    result.leastAccount = std::min(result.leastUnflooded, byAccount[floodingAccount].value());
    result.fairness = squares > 0 ? sum * sum / (accounts * squares) : 0;
    if (!times.empty()) {
        result.firstEventMedian = times[times.size() / 2];
        result.firstEventP99 = times[times.size() * 99 / 100];
    }
    return result;
}

} // namespace

const std::vector<replay_pattern> &replayPatterns()
{
    static const std::vector<replay_pattern> patterns {
        {.name = "calm"},
        {.name = "burst_1.7", .load = 0.7, .burstLoad = 1.7},
        {.name = "burst_4", .load = 0.7, .burstLoad = 4},
        {.name = "load_1.5", .load = 1.5},
        {.name = "load_3", .load = 3},
        {.name = "flood", .load = 0.7, .floodShare = 1.0},
        {.name = "repeats_at_once", .load = 1.5, .impatientShare = 0.5},
        {.name = "callers_leave", .load = 1.5, .leavingShare = 0.3},
        {.name = "large_prompts", .load = 1.5, .largeShare = 0.4},
        {.name = "priorities", .load = 2, .urgentShare = 0.3},
        {.name = "slow_endpoints", .load = 0.9, .slowEndpoints = 3},
        {.name = "third_gone", .load = 0.8, .goneEndpoints = 3},
        {.name = "burst_at_12_gateways", .load = 0.7, .burstLoad = 1.7, .gateways = 12},
        {.name = "waves_at_12_gateways", .load = 0.95, .gateways = 12, .waveSwing = 0.55},
        {.name = "waves_at_44_gateways", .load = 0.95, .gateways = 44, .waveSwing = 0.55},
        {.name = "flood_at_12_gateways", .load = 0.7, .floodShare = 1.0, .gateways = 12},
        {.name = "crowded_gateways", .load = 1.3, .gateways = 12, .crowdedShare = 0.5},
        {.name = "mostly_urgent", .load = 2, .urgentShare = 0.9, .gateways = 12},
        {.name = "urgent_and_others", .load = 1.3, .urgentShare = 0.5, .gateways = 12},
    };
    return patterns;
}

replay_result replayLoad(const replay_pattern &pattern, replay_policy policy, std::uint64_t seed)
{
    return replay(pattern, policy, seed).play();
}

} // namespace bronzechute::standins
