#include "standins/pass_replay.h"

#include "balance/admission.h"
#include "balance/completion_rate.h"
#include "balance/group_choice.h"
#include "balance/group_room_share.h"
#include "balance/pass_latency_limiter.h"
#include "balance/retry_delay.h"
#include "balance/start_deadlines.h"
#include "balance/wait_queue.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace bronzechute::standins {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t groupCount = 3;
constexpr int ranks = 24;
constexpr milliseconds tick = 2ms;
constexpr milliseconds length = 20s;
constexpr milliseconds drain = 10s; ///< After the last first try.
constexpr milliseconds checkInterval = 10ms;
constexpr milliseconds reportInterval = 40ms; ///< Between gateways.
constexpr milliseconds callerDeadline = 8s;
constexpr milliseconds callerPatience = 2s; ///< Without a first event.
constexpr milliseconds usualFirstEvent = 220ms; ///< As the gateway expects it.
constexpr double promptMs = 11.0; ///< To read a prompt, for the rank that runs it.
constexpr double meanEvents = 22.7;
constexpr double maxEvents = 57;
constexpr pass_latency_model initialModel {33.9, 3.62, 10.0, 120ms, meanEvents};
constexpr int returnShare = 3; ///< Callers use a third of their time at most until they return.

struct kind_profile
{
    double perSecond;
    milliseconds target;
};

constexpr std::array<kind_profile, 3> profiles {{{92.2, 400ms}, {122.0, 400ms}, {40.8, 800ms}}};

struct stream
{
    std::size_t kind = 0;
    time_point firstTry;
    int eventsLeft = 0;
    bool returned = false;
    bool late = false;
    std::size_t gateway = 0;
    bool begun = false; ///< Whether its first event has been sent.
};

struct emulated_group
{
    std::vector<std::size_t> joining; ///< Read in the next pass.
    std::vector<std::size_t> running;
    time_point passStart;
    time_point passEnd;
    time_point shiftedUntil;
    time_point shiftedAt;
    time_point nextShift;
};

struct emulated_gateway
{
    wait_queue queue;
    completion_rate completions;
    completion_rate arrivals;
    std::map<std::uint64_t, std::size_t> waiting; ///< Stream by ticket.
    std::array<int, groupCount> own {};
    std::array<int, groupCount> reported {}; ///< As the others know it.
    std::array<int, groupCount> leaving {}; ///< As the next report tells it.
    std::array<pass_latency_limiter, groupCount> pace;
    std::array<group_room_share, groupCount> room;
};

class pass_replay
{
public:
    pass_replay(const pass_pattern &pattern, replay_limit limit, double fixedLimit, std::uint64_t seed)
        : m_pattern(pattern)
        , m_limit(limit)
        , m_fixedLimit(fixedLimit)
        , m_random(seed)
        , m_arrivals(seed + 1)
        , m_gateways(pattern.gateways)
    {
    }

    pass_replay_result play();

private:
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    double rate(std::size_t kind) const;
    double skew(emulated_group &group);
    int totalAt(std::size_t group) const;
    int runningAt(std::size_t gateway, std::size_t group) const;
    double shareOf(std::size_t gateway) const;
    group_room roomOf(std::size_t gateway, std::size_t group);
    std::vector<bool> groupsFor(std::size_t gateway, const waiting_request &request);
    std::optional<std::size_t> choose(std::size_t gateway, const waiting_request &request);
    void place(std::size_t id, std::size_t group);
    void submit(std::size_t id);
    void refuse(std::size_t id, boot_clock::duration wait);
    void serveQueue(std::size_t gateway);
    void endPass(std::size_t group);
    void beginPass(std::size_t group);
    void report();
    bool within(milliseconds from, milliseconds to) const
    {
        return m_now >= m_start + from && m_now < m_start + to;
    }
    bool isClosed(std::size_t group) const
    {
        return m_pattern.groupReturns && group == 1 && within(4s, 9s);
    }

    const pass_pattern m_pattern;
    const replay_limit m_limit;
    const double m_fixedLimit;
    std::mt19937_64 m_random;
    std::mt19937_64 m_arrivals; ///< Apart, so that all policies get the same requests.
    time_point m_now {1h};
    const time_point m_start {1h};
    pass_latency_model m_model = initialModel;
    std::uint64_t m_ticket = 0;
    std::array<emulated_group, groupCount> m_groups;
    std::vector<emulated_gateway> m_gateways;
    std::vector<stream> m_streams;
    std::multimap<time_point, std::size_t> m_returns;
    pass_replay_result m_result;
};

double pass_replay::rate(std::size_t kind) const
{
    const auto since = m_now - m_start;
    double factor = m_pattern.load;
    if (kind == 2 && since >= 4300ms && since < 10700ms) {
        factor *= m_pattern.burst;
    }
    if (kind == 0 && since >= 13s && since < 16600ms) {
        factor *= m_pattern.urgentBurst;
    }
    return profiles.at(kind).perSecond * factor;
}

double pass_replay::skew(emulated_group &group)
{
    constexpr double balanced = 1.2;
    constexpr double shiftedStart = 0.82; // Of the skew at the end of the shift.
    if (m_now >= group.nextShift) {
        group.shiftedAt = m_now;
        group.shiftedUntil = m_now + milliseconds(static_cast<int>(uniform(900, 1500)));
        group.nextShift += 3700ms;
    }
    if (m_now >= group.shiftedUntil) {
        return balanced * uniform(0.92, 1.08);
    }
    const double progress = std::chrono::duration<double>(m_now - group.shiftedAt)
        / std::chrono::duration<double>(group.shiftedUntil - group.shiftedAt);
    return m_pattern.shiftedSkew * (shiftedStart + (1 - shiftedStart) * progress) * uniform(0.95, 1.05);
}

int pass_replay::totalAt(std::size_t group) const
{
    return static_cast<int>(m_groups.at(group).joining.size() + m_groups.at(group).running.size());
}

int pass_replay::runningAt(std::size_t gateway, std::size_t group) const
{
    int running = m_gateways[gateway].own.at(group);
    if (m_pattern.gatewayCutOff && gateway == 0 && within(5s, 10s)) {
        return running;
    }
    for (std::size_t other = 0; other < m_gateways.size(); ++other) {
        running += other == gateway ? 0 : m_gateways[other].reported.at(group);
    }
    return running;
}

double pass_replay::shareOf(std::size_t gateway) const
{
    int own = 0;
    int all = 0;
    for (std::size_t group = 0; group < groupCount; ++group) {
        own += m_gateways[gateway].own.at(group);
        all += runningAt(gateway, group);
    }
    return shareOfRoom(own, all, static_cast<int>(m_gateways.size()));
}

group_room pass_replay::roomOf(std::size_t gateway, std::size_t group)
{
    const bool informed = m_limit == replay_limit::fixed;
    group_room room;
    room.running = informed ? totalAt(group) : runningAt(gateway, group);
    room.serves = !isClosed(group);
    room.hasFreeSlot = room.serves && room.running < m_model.slots * ranks;
    if (informed) {
        room.limit = m_fixedLimit * ranks;
        return room;
    }
    const pass_limit &limit = m_gateways[gateway].pace.at(group).limit(m_model, m_now);
    if (m_limit == replay_limit::measured && limit.requests < m_model.slots) {
        room.limit = limit.requests * ranks;
        room.mayFill = m_gateways[gateway].room.at(group).allows(*room.limit - room.running, shareOf(gateway), m_now);
    }
    room.canBeInTime = limit.canBeInTime();
    return room;
}

std::vector<bool> pass_replay::groupsFor(std::size_t gateway, const waiting_request &request)
{
    std::array<group_room, groupCount> rooms;
    std::vector<bool> below;
    for (std::size_t group = 0; group < groupCount; ++group) {
        rooms.at(group) = roomOf(gateway, group);
        below.push_back(rooms.at(group).hasFreeSlot
                        && rooms.at(group).running < rooms.at(group).limit.value_or(m_model.slots * ranks));
    }
    if (m_limit == replay_limit::fixed || m_limit == replay_limit::all_slots) {
        return below;
    }
    const auto level = static_cast<std::size_t>(request.priority);
    return chooseGroups(rooms, m_now > request.latestOnTimeStart ? profiles.size() : level);
}

std::optional<std::size_t> pass_replay::choose(std::size_t gateway, const waiting_request &request)
{
    const std::vector<bool> taking = groupsFor(gateway, request);
    if (std::ranges::find(taking, true) == taking.end()) {
        return std::nullopt;
    }
    if (m_limit == replay_limit::fixed) {
        std::optional<std::size_t> least;
        for (std::size_t group = 0; group < groupCount; ++group) {
            if (taking[group] && (!least || totalAt(group) < totalAt(*least))) {
                least = group;
            }
        }
        return least;
    }
    std::array<double, groupCount> weights {}; // As placeRequest() fills them evenly, on old knowledge.
    for (std::size_t group = 0; group < groupCount; ++group) {
        weights.at(group) = taking[group] ? 1.0 / (1 + runningAt(gateway, group)) : 0.0;
    }
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(m_random);
}

void pass_replay::place(std::size_t id, std::size_t group)
{
    emulated_gateway &gateway = m_gateways[m_streams[id].gateway];
    ++gateway.own.at(group);
    gateway.room.at(group).take();
    m_groups.at(group).joining.push_back(id);
}

void pass_replay::submit(std::size_t id)
{
    stream &each = m_streams[id];
    each.gateway = m_random() % m_gateways.size();
    emulated_gateway &gateway = m_gateways[each.gateway];
    if (!each.returned) {
        gateway.arrivals.record(m_now);
    }
    waiting_request request;
    request.ticket = ++m_ticket;
    request.priority = static_cast<int>(each.kind);
    request.arrivedAt = m_now;
    request.returned = each.returned;
    const start_deadlines useful = startDeadlines(
        {m_now, profiles.at(each.kind).target, usualFirstEvent, each.firstTry + callerDeadline, each.returned, false},
        m_now);
    request.latestOnTimeStart = useful.latestOnTimeStart;
    request.expiresAt = useful.expiresAt;
    const std::size_t ahead = gateway.queue.countAhead(request, m_now);
    if (ahead == 0) {
        if (const auto group = choose(each.gateway, request)) {
            place(id, *group);
            return;
        }
    }
    const admission_decision decision =
        admit({ahead, gateway.completions.interval(m_now), gateway.arrivals.interval(m_now), true, 0}, request, m_now);
    if (!decision.admitted) {
        refuse(id, decision.expectedWait);
        return;
    }
    gateway.waiting[request.ticket] = id;
    gateway.queue.push(request);
}

void pass_replay::refuse(std::size_t id, boot_clock::duration wait)
{
    stream &each = m_streams[id];
    const auto left = each.firstTry + callerDeadline - m_now;
    if (each.returned || left < callerPatience) {
        return;
    }
    each.returned = true;
    each.late = true;
    m_returns.emplace(m_now + retryDelay(refusal_cause::overloaded, wait, left / returnShare, m_random), id);
}

void pass_replay::serveQueue(std::size_t index)
{
    emulated_gateway &gateway = m_gateways[index];
    for (const waiting_request &expired : gateway.queue.takeExpired(m_now)) {
        const std::size_t id = gateway.waiting.at(expired.ticket);
        gateway.waiting.erase(expired.ticket);
        refuse(id, gateway.completions.interval(m_now));
    }
    while (const auto request = gateway.queue.pop(m_now)) {
        const auto group = choose(index, *request);
        if (!group) {
            gateway.queue.push(*request);
            return;
        }
        place(gateway.waiting.at(request->ticket), *group);
        gateway.waiting.erase(request->ticket);
    }
}

void pass_replay::endPass(std::size_t index)
{
    emulated_group &group = m_groups.at(index);
    const auto pass = group.passEnd - group.passStart;
    std::vector<std::size_t> ended;
    for (const std::size_t id : group.running) {
        stream &each = m_streams[id];
        emulated_gateway &gateway = m_gateways[each.gateway];
        if (each.begun) {
            each.late = each.late || pass > m_model.gapTarget;
            gateway.pace.at(index).record(pass, static_cast<double>(runningAt(each.gateway, index)) / ranks, m_now);
        } else {
            each.begun = true;
            each.late = each.late || m_now - each.firstTry > profiles.at(each.kind).target;
        }
        if (--each.eventsLeft <= 0) {
            ended.push_back(id);
        }
    }
    std::erase_if(group.running, [this](std::size_t id) { return m_streams[id].eventsLeft <= 0; });
    for (const std::size_t id : ended) {
        const stream &each = m_streams[id];
        emulated_gateway &gateway = m_gateways[each.gateway];
        replayed_kind &kind = m_result.kinds.at(each.kind);
        ++kind.served;
        kind.inTime += each.late ? 0 : 1;
        --gateway.own.at(index);
        gateway.completions.record(m_now);
        serveQueue(each.gateway);
    }
}

void pass_replay::beginPass(std::size_t index)
{
    emulated_group &group = m_groups.at(index);
    const double prompts = promptMs * static_cast<double>(group.joining.size()) / ranks;
    group.running.insert(group.running.end(), group.joining.begin(), group.joining.end());
    group.joining.clear();
    const double stepMs = m_model.stepMs + m_model.stepMsPerRequest * static_cast<double>(group.running.size()) / ranks;
    const double passMs = group.running.empty() ? static_cast<double>(tick.count())
                                                : m_pattern.slowness
            * (index == 0 && within(6s, 12s) ? m_pattern.slowGroup : 1.0) * skew(group) * (stepMs + prompts);
    group.passStart = m_now;
    group.passEnd =
        m_now + std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(passMs));
}

void pass_replay::report()
{
    for (emulated_gateway &gateway : m_gateways) {
        gateway.reported = gateway.leaving;
        gateway.leaving = gateway.own;
    }
    if (m_pattern.gatewayCutOff && within(5s, 10s)) {
        m_gateways.front().reported = {};
    }
}

pass_replay_result pass_replay::play()
{
    for (std::size_t gateway = 0; gateway < m_gateways.size(); ++gateway) {
        m_gateways[gateway].room.fill(group_room_share(gateway));
    }
    for (std::size_t group = 0; group < groupCount; ++group) {
        m_groups.at(group).nextShift = m_start + 2400ms;
    }
    for (; m_now < m_start + length + drain; m_now += tick) {
        for (std::size_t kind = 0; kind < profiles.size() && m_now < m_start + length; ++kind) {
            std::poisson_distribution<int> arrivals(rate(kind) * std::chrono::duration<double>(tick).count());
            for (int count = arrivals(m_arrivals); count > 0; --count) {
                stream next;
                next.kind = kind;
                next.firstTry = m_now;
                const double events = std::exponential_distribution<double>(1 / meanEvents)(m_arrivals);
                next.eventsLeft = static_cast<int>(std::clamp(events, 2.0, maxEvents));
                m_streams.push_back(next);
                ++m_result.kinds.at(kind).asked;
                submit(m_streams.size() - 1);
            }
        }
        m_model.gapTarget = within(0s, 10s) ? initialModel.gapTarget : m_pattern.laterGapTarget;
        if (m_pattern.gatewayRestarts && within(8s, 8s + tick)) {
            m_gateways.front().pace = {};
        }
        while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
            const std::size_t id = m_returns.begin()->second;
            m_returns.erase(m_returns.begin());
            submit(id);
        }
        for (std::size_t group = 0; group < groupCount; ++group) {
            if (m_groups.at(group).passEnd <= m_now) {
                endPass(group);
                beginPass(group);
            }
        }
        const auto since = m_now - m_start;
        if (since % reportInterval < tick) {
            report();
        }
        for (std::size_t gateway = 0; since % checkInterval < tick && gateway < m_gateways.size(); ++gateway) {
            serveQueue(gateway);
        }
    }
    return m_result;
}

} // namespace

pass_replay_result replayPasses(const pass_pattern &pattern, replay_limit limit, double fixedLimit, std::uint64_t seed)
{
    return pass_replay(pattern, limit, fixedLimit, seed).play();
}

} // namespace bronzechute::standins
