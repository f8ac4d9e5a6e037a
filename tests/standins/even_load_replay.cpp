#include "standins/even_load_replay.h"

#include "balance/load_forecast.h"
#include "balance/placement.h"

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <vector>

namespace bronzechute::standins {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t groupCount = 3;
constexpr std::size_t groupRanks = 24;
constexpr std::size_t rankCount = groupCount * groupRanks;
constexpr int slots = 10;
constexpr double stepMs = 4.84;
constexpr double stepMsPerRequest = 0.435;
constexpr double stepMsPerThousandTokens = 0.0132;
constexpr double promptTokensPerMs = 74.8;
constexpr int stepsPerPass = 7;
constexpr double promptMean = 800;
constexpr double answerPasses = 22.7;
constexpr double meanTokens = promptMean + answerPasses * stepsPerPass;
constexpr double lengthMs = 16000;
constexpr double measuredFromMs = 4000;
constexpr double windowMs = 100;
constexpr double snapshotMs = 40;
constexpr double atOnceMs = 5;
constexpr double retryMs = 10;

struct emulated_request
{
    std::size_t gateway = 0;
    std::size_t rank = 0;
    double arrivedMs = 0;
    int promptTokens = 0;
    int passes = 0; ///< Still to come after the one that reads the prompt.
    std::int64_t tokens = 0;
    std::int64_t declaredTokens = 0;
    bool read = false;
};

struct emulated_rank
{
    std::deque<std::size_t> requests; ///< The first ones, up to the slots, are running.
    std::size_t inPass = 0; ///< How many of them take part in the current pass.
    double tokens = 0;
    double tokenMs = 0; ///< Integral within the window.
    double requestMs = 0; ///< The same for requests.
    double changedMs = 0;
};

using loads = std::vector<endpoint_load>;

struct emulated_gateway
{
    loads own = loads(rankCount);
    loads visible = loads(rankCount); ///< As the others know it.
    std::vector<double> foreseen = std::vector<double>(rankCount, 0.0);
    load_forecast forecast;
    std::vector<std::size_t> order;
    std::size_t next = 0;
    std::deque<std::size_t> waiting;
};

enum class event_kind {
    arrival,
    pass_end,
    snapshot,
    reveal,
    change_told,
    retry,
    window_end,
};

struct event
{
    double ms = 0;
    std::uint64_t order = 0;
    event_kind kind = event_kind::arrival;
    std::size_t index = 0;
    loads told; ///< Of a snapshot.
    endpoint_load change; ///< Of an endpoint, with event_kind::change_told.
    std::size_t rank = 0;

    bool operator<(const event &other) const
    {
        return std::tie(ms, order) > std::tie(other.ms, other.order);
    }
};

class replay
{
public:
    explicit replay(const even_load_case &setting)
        : m_case(setting)
        , m_random(setting.seed)
        , m_gateways(static_cast<std::size_t>(setting.gateways))
        , m_ranks(rankCount)
        , m_visibleTotal(rankCount)
    {
    }

    even_load_result play();

private:
    bool tellsAtOnce() const
    {
        return m_case.rule == even_load_rule::told_at_once || m_case.rule == even_load_rule::forecast_told_at_once;
    }
    bool forecasts() const
    {
        return m_case.rule == even_load_rule::forecast || m_case.rule == even_load_rule::forecast_by_count
            || m_case.rule == even_load_rule::forecast_told_at_once;
    }
    double ageMs() const
    {
        return tellsAtOnce() ? std::min(atOnceMs, static_cast<double>(m_case.age.count()))
                             : static_cast<double>(m_case.age.count());
    }
    time_point now() const
    {
        return time_point {1h}
        + std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double, std::milli>(m_nowMs));
    }
    void at(double ms, event_kind kind, std::size_t index = 0)
    {
        event next;
        next.ms = ms;
        next.order = m_order++;
        next.kind = kind;
        next.index = index;
        m_events.push(std::move(next));
    }
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }
    double logNormal(double mean, double spread)
    {
        return std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(m_random);
    }

    void arrive();
    void beginPass(std::size_t group);
    void endPass(std::size_t group);
    void handle(event &next);
    void reveal(std::size_t gateway, const loads &told);
    void changeOwn(std::size_t gateway, std::size_t rank, const endpoint_load &change);
    bool tryPlace(std::size_t id);
    std::optional<std::size_t> choose(std::size_t gateway);
    std::vector<endpoint_view> viewsOf(const emulated_gateway &gateway) const;
    std::vector<endpoint_work> workOf(const emulated_gateway &gateway) const;
    void advance(emulated_gateway &gateway);
    void integrate(emulated_rank &rank);
    void endWindow();

    const even_load_case m_case;
    std::mt19937_64 m_random;
    std::vector<emulated_gateway> m_gateways;
    std::vector<emulated_rank> m_ranks;
    std::vector<emulated_request> m_requests;
    loads m_visibleTotal;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    double m_nowMs = 0;
    double m_arrivalsPerMs = 0;
    int m_windows = 0;
    double m_passTimeMs = 0;
    int m_passes = 0;
    int m_placed = 0;
    int m_beyond = 0;
    std::vector<double> m_firstTokensMs;
    even_load_result m_result;
};

even_load_result replay::play()
{
    // Measured with perfect knowledge: a fixed part with the longest of the prompts that are read, and a part by
    // requests.
    const double passMs = 45 + 5.2 * m_case.load * slots;
    m_arrivalsPerMs = m_case.load * slots * rankCount / ((answerPasses + 1.5) * passMs);
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
        emulated_gateway &gateway = m_gateways[index];
        gateway.order.resize(rankCount);
        std::iota(gateway.order.begin(), gateway.order.end(), 0U);
        std::ranges::shuffle(gateway.order, m_random);
        gateway.forecast.configure(m_case.rule == even_load_rule::forecast_by_count ? 0 : m_case.tokenWeight, 0);
        gateway.forecast.setAge(std::chrono::duration<double, std::milli>(ageMs()));
        if (ageMs() > 0 && !tellsAtOnce()) {
            at(uniform() * snapshotMs, event_kind::snapshot, index);
        }
    }
    at(0, event_kind::arrival);
    for (std::size_t group = 0; group < groupCount; ++group) {
        beginPass(group);
    }
    at(windowMs, event_kind::window_end);
    while (!m_events.empty() && m_nowMs < lengthMs) {
        event next = m_events.top();
        m_events.pop();
        m_nowMs = next.ms;
        handle(next);
    }
    m_result.running /= m_windows;
    m_result.busiestTokens /= m_windows;
    m_result.busiestRequests /= m_windows;
    m_result.busiestWork /= m_windows;
    m_result.passMs = m_passTimeMs / m_passes;
    m_result.beyondSlots = static_cast<double>(m_beyond) / m_placed;
    std::ranges::sort(m_firstTokensMs);
    m_result.firstTokenP50Ms = m_firstTokensMs.at(m_firstTokensMs.size() / 2);
    m_result.firstTokenP95Ms = m_firstTokensMs.at(m_firstTokensMs.size() * 95 / 100);
    return m_result;
}

void replay::handle(event &next)
{
    switch (next.kind) {
    case event_kind::arrival:
        arrive();
        break;
    case event_kind::pass_end:
        endPass(next.index);
        break;
    case event_kind::snapshot: {
        event told;
        // Used at a mean of half an interval after it is told.
        told.ms = m_nowMs + std::max(0.0, ageMs() - snapshotMs / 2);
        told.order = m_order++;
        told.kind = event_kind::reveal;
        told.index = next.index;
        told.told = m_gateways[next.index].own;
        m_events.push(std::move(told));
        at(m_nowMs + snapshotMs, event_kind::snapshot, next.index);
        break;
    }
    case event_kind::reveal:
        reveal(next.index, next.told);
        break;
    case event_kind::change_told:
        for (loads *known : {&m_gateways[next.index].visible, &m_visibleTotal}) {
            (*known)[next.rank].requests += next.change.requests;
            (*known)[next.rank].tokens += next.change.tokens;
        }
        break;
    case event_kind::retry: {
        emulated_gateway &gateway = m_gateways[next.index];
        while (!gateway.waiting.empty() && tryPlace(gateway.waiting.front())) {
            gateway.waiting.pop_front();
        }
        if (!gateway.waiting.empty()) {
            at(m_nowMs + retryMs, event_kind::retry, next.index);
        }
        break;
    }
    case event_kind::window_end:
        endWindow();
        break;
    }
}

void replay::arrive()
{
    emulated_request request;
    request.gateway = m_random() % m_gateways.size();
    request.arrivedMs = m_nowMs;
    request.promptTokens = static_cast<int>(std::clamp(logNormal(promptMean, 0.8), 40.0, 2900.0));
    request.passes = static_cast<int>(std::clamp(logNormal(answerPasses, 0.7), 1.0, 57.0));
    const int answerTokens = request.passes * stepsPerPass;
    request.tokens = request.promptTokens + answerTokens;
    // Callers only estimate the length of the answer.
    request.declaredTokens = request.promptTokens + static_cast<int>(answerTokens * (0.5 + uniform()));
    m_requests.push_back(request);
    emulated_gateway &gateway = m_gateways[request.gateway];
    if (!gateway.waiting.empty() || !tryPlace(m_requests.size() - 1)) {
        gateway.waiting.push_back(m_requests.size() - 1);
        if (gateway.waiting.size() == 1) {
            at(m_nowMs + retryMs, event_kind::retry, request.gateway);
        }
    }
    at(m_nowMs + std::exponential_distribution<double>(m_arrivalsPerMs)(m_random), event_kind::arrival);
}

void replay::integrate(emulated_rank &rank)
{
    rank.tokenMs += rank.tokens * (m_nowMs - rank.changedMs);
    rank.requestMs += static_cast<double>(rank.requests.size()) * (m_nowMs - rank.changedMs);
    rank.changedMs = m_nowMs;
}

void replay::beginPass(std::size_t group)
{
    double slowestMs = 0;
    for (std::size_t index = group * groupRanks; index < (group + 1) * groupRanks; ++index) {
        emulated_rank &rank = m_ranks[index];
        rank.inPass = std::min(rank.requests.size(), static_cast<std::size_t>(slots));
        double promptTokens = 0;
        double contextTokens = 0;
        for (std::size_t place = 0; place < rank.inPass; ++place) {
            const emulated_request &request = m_requests[rank.requests[place]];
            promptTokens += request.read ? 0 : request.promptTokens;
            contextTokens += request.promptTokens;
        }
        const double ms = stepsPerPass
                * (stepMs + stepMsPerRequest * static_cast<double>(rank.inPass)
                   + stepMsPerThousandTokens * contextTokens / 1000)
            + promptTokens / promptTokensPerMs;
        slowestMs = std::max(slowestMs, ms);
    }
    if (m_nowMs >= measuredFromMs) {
        m_passTimeMs += slowestMs;
        ++m_passes;
    }
    at(m_nowMs + slowestMs, event_kind::pass_end, group);
}

void replay::endPass(std::size_t group)
{
    for (std::size_t index = group * groupRanks; index < (group + 1) * groupRanks; ++index) {
        emulated_rank &rank = m_ranks[index];
        std::deque<std::size_t> left;
        for (std::size_t place = 0; place < rank.requests.size(); ++place) {
            const std::size_t id = rank.requests[place];
            emulated_request &request = m_requests[id];
            const bool takesPart = place < rank.inPass;
            if (takesPart && !request.read) {
                request.read = true;
                if (request.arrivedMs >= measuredFromMs) {
                    m_firstTokensMs.push_back(m_nowMs - request.arrivedMs);
                }
                left.push_back(id);
            } else if (!takesPart || --request.passes > 0) {
                left.push_back(id);
            } else {
                integrate(rank);
                rank.tokens -= static_cast<double>(request.tokens);
                changeOwn(request.gateway, index, {-1, -request.declaredTokens});
                m_gateways[request.gateway].forecast.recordReleased(now());
            }
        }
        integrate(rank);
        rank.requests = std::move(left);
    }
    beginPass(group);
}

void replay::changeOwn(std::size_t gateway, std::size_t rank, const endpoint_load &change)
{
    endpoint_load &own = m_gateways[gateway].own[rank];
    own.requests += change.requests;
    own.tokens += change.tokens;
    if (ageMs() <= 0 || tellsAtOnce()) {
        event told;
        told.ms = m_nowMs + ageMs();
        told.order = m_order++;
        told.kind = event_kind::change_told;
        told.index = gateway;
        told.rank = rank;
        told.change = change;
        if (ageMs() <= 0) {
            handle(told);
        } else {
            m_events.push(std::move(told));
        }
    }
}

void replay::reveal(std::size_t gateway, const loads &told)
{
    loads &visible = m_gateways[gateway].visible;
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        m_visibleTotal[rank].requests += told[rank].requests - visible[rank].requests;
        m_visibleTotal[rank].tokens += told[rank].tokens - visible[rank].tokens;
    }
    visible = told;
    if (forecasts()) {
        // All others hear it; advance() bounds how often they compute.
        for (emulated_gateway &other : m_gateways) {
            if (&other != &m_gateways[gateway]) {
                advance(other);
            }
        }
    }
}

std::vector<endpoint_view> replay::viewsOf(const emulated_gateway &gateway) const
{
    std::vector<endpoint_view> views(rankCount);
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        views[rank].slots = slots;
        views[rank].local = true;
        views[rank].running =
            gateway.own[rank].requests + m_visibleTotal[rank].requests - gateway.visible[rank].requests;
    }
    return views;
}

std::vector<endpoint_work> replay::workOf(const emulated_gateway &gateway) const
{
    std::vector<endpoint_work> work(rankCount);
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        work[rank].own = gateway.own[rank];
        work[rank].peers = {m_visibleTotal[rank].requests - gateway.visible[rank].requests,
                            m_visibleTotal[rank].tokens - gateway.visible[rank].tokens};
        work[rank].foreseen = gateway.foreseen[rank];
    }
    return work;
}

void replay::advance(emulated_gateway &gateway)
{
    if (!gateway.forecast.due(now())) {
        return;
    }
    std::vector<endpoint_work> work = workOf(gateway);
    gateway.forecast.advance(viewsOf(gateway), work, now());
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        gateway.foreseen[rank] = work[rank].foreseen;
    }
}

std::optional<std::size_t> replay::choose(std::size_t index)
{
    emulated_gateway &gateway = m_gateways[index];
    std::vector<endpoint_view> views = viewsOf(gateway);
    const auto free = [&](std::size_t rank) {
        return views[rank].running < slots;
    };
    switch (m_case.rule) {
    case even_load_rule::least_requests:
    case even_load_rule::told_at_once:
        return placeRequest(views, 0, m_random);
    case even_load_rule::random_pairs: {
        std::vector<std::size_t> candidates;
        for (std::size_t rank = 0; rank < rankCount; ++rank) {
            if (free(rank)) {
                candidates.push_back(rank);
            }
        }
        if (candidates.empty()) {
            return std::nullopt;
        }
        const std::size_t first = candidates[m_random() % candidates.size()];
        const std::size_t second = candidates[m_random() % candidates.size()];
        return views[second].running < views[first].running ? second : first;
    }
    case even_load_rule::random_room: {
        int room = 0;
        for (const endpoint_view &view : views) {
            room += std::max(0, slots - view.running);
        }
        if (room == 0) {
            return std::nullopt;
        }
        int drawn = static_cast<int>(m_random() % static_cast<std::uint64_t>(room));
        for (std::size_t rank = 0; rank < rankCount; ++rank) {
            drawn -= std::max(0, slots - views[rank].running);
            if (drawn < 0) {
                return rank;
            }
        }
        return std::nullopt;
    }
    case even_load_rule::own_order:
        for (std::size_t tries = 0; tries < rankCount; ++tries) {
            const std::size_t rank = gateway.order[gateway.next++ % rankCount];
            if (free(rank)) {
                return rank;
            }
        }
        return std::nullopt;
    case even_load_rule::forecast:
    case even_load_rule::forecast_by_count:
    case even_load_rule::forecast_told_at_once: {
        advance(gateway);
        const std::vector<endpoint_work> work = workOf(gateway);
        gateway.forecast.apply(views, work, now());
        return placeRequest(views, 0, m_random, gateway.forecast.concurrent(work, now()));
    }
    }
    return std::nullopt;
}

bool replay::tryPlace(std::size_t id)
{
    emulated_request &request = m_requests[id];
    const auto rank = choose(request.gateway);
    if (!rank) {
        return false;
    }
    emulated_rank &target = m_ranks[*rank];
    ++m_placed;
    m_beyond += target.requests.size() >= slots ? 1 : 0;
    integrate(target);
    target.tokens += static_cast<double>(request.tokens);
    target.requests.push_back(id);
    changeOwn(request.gateway, *rank, {1, request.declaredTokens});
    m_gateways[request.gateway].forecast.recordPlaced(request.declaredTokens, now());
    return true;
}

void replay::endWindow()
{
    double tokens = 0;
    double requests = 0;
    double mostTokens = 0;
    double mostRequests = 0;
    double mostWork = 0;
    const auto workMs = [this](double requestMs, double tokenMs) {
        return (1 - m_case.tokenWeight) * requestMs + m_case.tokenWeight * tokenMs / meanTokens;
    };
    for (emulated_rank &rank : m_ranks) {
        integrate(rank);
        tokens += rank.tokenMs;
        requests += rank.requestMs;
        mostTokens = std::max(mostTokens, rank.tokenMs);
        mostRequests = std::max(mostRequests, rank.requestMs);
        mostWork = std::max(mostWork, workMs(rank.requestMs, rank.tokenMs));
        rank.tokenMs = 0;
        rank.requestMs = 0;
    }
    if (m_nowMs >= measuredFromMs && requests > 0) {
        ++m_windows;
        m_result.running += requests / windowMs / rankCount;
        m_result.busiestTokens += mostTokens * rankCount / tokens;
        m_result.busiestWork += mostWork * rankCount / workMs(requests, tokens);
        m_result.busiestRequests += mostRequests * rankCount / requests;
    }
    at(m_nowMs + windowMs, event_kind::window_end);
}

} // namespace

even_load_result replayEvenLoad(const even_load_case &each)
{
    return replay(each).play();
}

} // namespace bronzechute::standins
