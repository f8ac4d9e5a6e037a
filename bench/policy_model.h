#pragma once

#include "policy/adaptive_limiter.h"
#include "policy/circuit_breaker.h"
#include "policy/fair_queue.h"
#include "policy/load_aware_chooser.h"
#include "policy/name_hash.h"
#include "policy/prefix_index.h"
#include "policy/retry_budget.h"
#include "policy_baselines.h"
#include "policy_engine.h"
#include "policy_scenario.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>

namespace bronzechute::policy_model {

/** What is compared. */
struct policy_kind
{
    std::string name;
    std::optional<baseline> selection; ///< Absent: load_aware_chooser with breaker and prefix index.
    bool adaptive =
        false; ///< adaptive_limiter and fair_queue, instead of a fixed limit and a first-in first-out queue.
    load_aware_settings chooser {.entries = entryCount};
    queue_settings queue {.capacity = 32};
    limiter_settings limiter {.maximum = 64, .initial = 16};
    bool commonHash = true; ///< Whether entries rank endpoints for a new prefix alike.
};

struct outcome_counts
{
    int offered = 0;
    int good = 0; ///< Complete within the deadline.
    int smallOffered = 0; ///< Of all accounts but those that flood.
    int smallGood = 0;
    int highOffered = 0; ///< Of the higher priority.
    int highGood = 0;
    int firstGood = 0; ///< Of account 0.
    int secondGood = 0; ///< Of account 1.
    int retries = 0;
    int fallen = 0; ///< Engines that failed because of too much load while cold.
    int coldLoad = 0; ///< Load and bearable load of a cold engine where their ratio was highest.
    int coldBearable = 0;
    std::vector<double> firstTokens; ///< Seconds from arrival, of the requests that got one.
    std::vector<double> highFirstTokens; ///< The same of the higher priority.
    std::vector<double> paces; ///< Seconds a token after the first, of complete answers.
};

/** Discrete-event run of one policy: entries that share no state, endpoint processes and engines. */
class simulation
{
public:
    simulation(const scenario &course, const policy_kind &kind, std::vector<arrival> arrivals, std::uint64_t seed)
        : m_course(course), m_kind(kind), m_arrivals(std::move(arrivals)), m_requests(m_arrivals.size()), m_random(seed)
    {
        for (int index = 0; index < endpointCount; ++index) {
            m_nodes[index].name = "endpoint-" + std::to_string(index);
            resetProcess(index);
        }
        for (entry_state &entry : m_entries) {
            if (kind.selection) {
                entry.chooser = std::make_unique<baseline_chooser>(*kind.selection);
            } else {
                entry.chooser = std::make_unique<load_aware_chooser>(kind.chooser);
            }
            entry.breaker.setPoolSize(endpointCount);
        }
    }

    outcome_counts run()
    {
        for (int index = 0; index < endpointCount; ++index) {
            at(0.5 * index / endpointCount, [this, index] { heartbeat(index); });
        }
        for (std::size_t index = 0; index < m_arrivals.size(); ++index) {
            at(m_arrivals[index].at, [this, index] { arrive(static_cast<int>(index)); });
        }
        at(20, [this] { m_nodes[0].machine.slowness = m_course.slowness; });
        for (int index = 0; index < m_course.restarts; ++index) {
            at(30, [this, index] { restartEngine(index, 10); });
        }
        for (int index = 0; index < m_course.silentCold; ++index) {
            at(30, [this, index] { m_nodes[index].machine.loseWarmth(); });
        }
        for (int index = 0; index < m_course.vanish; ++index) {
            at(30, [this, index] { vanish(index); });
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.when;
            next.action();
        }
        return m_counts;
    }

private:
    static constexpr int fixedLimit = engine::mostInBatch;

    struct event
    {
        double when;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const event &other) const
        {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    struct request_state
    {
        int node = -1; ///< Of the present attempt.
        std::vector<std::string_view> tried;
        bool done = false;
        bool atEngine = false;
        double startedAt = 0; ///< At the engine.
        double firstTokenAt = -1;
    };

    struct node_state
    {
        std::string name;
        engine machine;
        bool stepping = false;
        bool reachable = true; ///< The VM.
        bool serving = true; ///< The engine.
        int starts = 0;
        std::uint64_t epoch = 0; ///< Changes when events of the engine become void.
        std::unique_ptr<adaptive_limiter> limiter; ///< Replaced when the process restarts, as is the queue.
        std::unique_ptr<fair_queue> queue;
        std::deque<int> plainQueue;
        int running = 0;
        double meanServiceMs = 0;
    };

    struct view
    {
        endpoint_candidate last;
        double heardAt = -100;
        int starts = 0;
        std::set<int> own; ///< Requests sent and not finished.
    };

    struct entry_state
    {
        std::unique_ptr<endpoint_chooser> chooser;
        circuit_breaker breaker;
        prefix_index prefixes {4096};
        retry_budget budget;
        std::array<view, endpointCount> views;
    };

    void at(double when, std::function<void()> action)
    {
        m_events.push({when, m_order++, std::move(action)});
    }

    time_point clock() const
    {
        return time_point(std::chrono::hours(1)) + std::chrono::nanoseconds(static_cast<std::int64_t>(m_now * 1e9));
    }

    bool inFirst(int index, int count) const
    {
        return m_course.remoteHop == 0 || index < count / 2;
    }

    /** @returns seconds one way between an entry and an endpoint process. */
    double hopBetween(int entry, int node) const
    {
        constexpr double local = 0.0015;
        return inFirst(entry, entryCount) == inFirst(node, endpointCount) ? local : m_course.remoteHop;
    }

    double hop(int request, int node) const
    {
        return hopBetween(m_arrivals[request].entry, node);
    }

    bool measured(int request) const
    {
        const double when = m_arrivals[request].at;
        return when >= measureFrom && when < measureTo;
    }

    std::vector<std::uint64_t> chainOf(int request) const
    {
        if (m_course.plain) {
            return {};
        }
        const auto prefix = static_cast<std::uint64_t>(m_arrivals[request].prefix + 1) * 0x9E3779B97F4A7C15ULL;
        return {prefix, prefix + 1, prefix + 2, prefix + 3, static_cast<std::uint64_t>(request)};
    }

    // Entries: policy_model_entry.h.
    void arrive(int request);
    void submit(int request);
    std::vector<endpoint_candidate> candidates(entry_state &entry, int request) const;
    void onHeartbeat(int entry, int node, const endpoint_candidate &status, int starts);
    void onRefused(int request, int node, bool mayRetry);
    void onFailed(int request, int node);
    void onFinished(int request, int node);
    void onDeadline(int request);
    void onSilence(int node);
    void retry(int request);
    entry_state &entryOf(int request);

    // Endpoint processes and engines: policy_model_endpoint.h.
    void resetProcess(int node);
    void heartbeat(int node);
    void receive(int node, int request);
    void refuse(int node, int request, bool mayRetry);
    void pump(int node);
    void start(int node, int request);
    void step(int node);
    void endStep(int node);
    void cancel(int node, int request);
    void restartEngine(int node, double awaySeconds);
    void engineUp(int node);
    void vanish(int node);

    const scenario m_course;
    const policy_kind m_kind;
    const std::vector<arrival> m_arrivals;
    std::vector<request_state> m_requests;
    std::mt19937_64 m_random;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0;
    std::array<node_state, endpointCount> m_nodes;
    std::array<entry_state, entryCount> m_entries;
    outcome_counts m_counts;
};

} // namespace bronzechute::policy_model

#include "policy_model_endpoint.h"
#include "policy_model_entry.h"
