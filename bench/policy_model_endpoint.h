#pragma once

#include "policy_model.h"

namespace bronzechute::policy_model {

inline void simulation::resetProcess(int node)
{
    node_state &here = m_nodes[node];
    here.limiter = std::make_unique<adaptive_limiter>(m_kind.limiter);
    here.queue = std::make_unique<fair_queue>(m_kind.queue);
    here.plainQueue.clear();
    here.running = 0;
    here.meanServiceMs = 0;
}

inline void simulation::heartbeat(int node)
{
    if (m_now > arrivalsEnd + 2 * deadlineSeconds) {
        return;
    }
    at(m_now + 0.5, [this, node] { heartbeat(node); });
    node_state &here = m_nodes[node];
    if (!here.reachable) {
        return;
    }
    if (here.serving) {
        here.limiter->onLoadReport(clock(),
                                   {.reachable = true,
                                    .startId = std::to_string(here.starts),
                                    .running = static_cast<double>(here.machine.running()),
                                    .waiting = static_cast<double>(here.machine.load() - here.machine.running())});
        pump(node);
    }
    endpoint_candidate status;
    status.dataCentre = inFirst(node, endpointCount) ? "a" : "b";
    status.state = here.serving ? serving_state::serving : serving_state::starting;
    status.cold = m_kind.adaptive && here.limiter->cold();
    status.inFlight = here.running;
    status.queued = static_cast<int>(m_kind.adaptive ? here.queue->size() : here.plainQueue.size());
    status.limit = m_kind.adaptive ? here.limiter->limit(clock()) : fixedLimit;
    status.meanServiceMs = here.meanServiceMs;
    for (int entry = 0; entry < entryCount; ++entry) {
        at(m_now + hopBetween(entry, node),
           [this, entry, node, status, starts = here.starts] { onHeartbeat(entry, node, status, starts); });
    }
}

inline void simulation::refuse(int node, int request, bool mayRetry)
{
    at(m_now + hop(request, node), [this, node, request, mayRetry] { onRefused(request, node, mayRetry); });
}

inline void simulation::receive(int node, int request)
{
    node_state &here = m_nodes[node];
    if (!here.reachable) {
        return; // The entry learns of it by silence.
    }
    if (!here.serving) {
        refuse(node, request, true);
        return;
    }
    if (!m_kind.adaptive) {
        if (here.plainQueue.size() >= m_kind.queue.capacity) {
            refuse(node, request, true);
            return;
        }
        here.plainQueue.push_back(request);
        pump(node);
        return;
    }
    const double latest = m_arrivals[request].at + std::max(1.0, deadlineSeconds - here.meanServiceMs / 1000);
    const auto deadline = clock() + std::chrono::nanoseconds(static_cast<std::int64_t>((latest - m_now) * 1e9));
    queued_request waiting {.id = {0, static_cast<std::uint64_t>(request)},
                            .account = std::to_string(m_arrivals[request].account),
                            .weight = m_arrivals[request].weight,
                            .priority = m_arrivals[request].priority,
                            .deadline = deadline};
    const int limit = here.limiter->limit(clock());
    const double intervalMs = here.limiter->cold() ? 0 : here.meanServiceMs / limit;
    const auto interval = std::chrono::nanoseconds(static_cast<std::int64_t>(intervalMs * 1e6));
    if (here.running >= limit) {
        const auto latestStart = here.queue->latestStart(waiting, clock(), interval);
        if (!latestStart) {
            refuse(node, request, true);
            return;
        }
        waiting.deadline = *latestStart;
    }
    const auto pushed = here.queue->push(waiting);
    if (!pushed.queued) {
        refuse(node, request, true);
    }
    if (pushed.displaced) {
        refuse(node, static_cast<int>(pushed.displaced->id.low), true);
    }
    pump(node);
}

inline void simulation::pump(int node)
{
    node_state &here = m_nodes[node];
    while (here.serving && !m_kind.adaptive && here.running < fixedLimit && !here.plainQueue.empty()) {
        const int next = here.plainQueue.front();
        here.plainQueue.pop_front();
        start(node, next);
    }
    while (here.serving && m_kind.adaptive && here.running < here.limiter->limit(clock())) {
        const auto popped = here.queue->pop(clock());
        for (const queued_request &expired : popped.expired) {
            refuse(node, static_cast<int>(expired.id.low), false);
        }
        if (!popped.next) {
            break;
        }
        start(node, static_cast<int>(popped.next->id.low));
    }
}

inline void simulation::start(int node, int request)
{
    node_state &here = m_nodes[node];
    request_state &state = m_requests[request];
    ++here.running;
    here.limiter->onStarted(clock());
    state.atEngine = true;
    state.startedAt = m_now;
    here.machine.add(request, m_arrivals[request].prefix, m_arrivals[request].tokens);
    if (here.machine.cold()) {
        const int load = here.machine.load();
        const int bearable = here.machine.bearable();
        if (load * m_counts.coldBearable > m_counts.coldLoad * bearable || m_counts.coldBearable == 0) {
            m_counts.coldLoad = load;
            m_counts.coldBearable = bearable;
        }
        if (load > bearable) {
            ++m_counts.fallen;
            restartEngine(node, 10);
            return;
        }
    }
    step(node);
}

inline void simulation::step(int node)
{
    node_state &here = m_nodes[node];
    if (here.stepping || here.machine.load() == 0) {
        return;
    }
    here.stepping = true;
    at(m_now + here.machine.beginStep() / 1000, [this, node, epoch = here.epoch] {
        if (m_nodes[node].epoch == epoch) {
            endStep(node);
        }
    });
}

inline void simulation::endStep(int node)
{
    node_state &here = m_nodes[node];
    here.stepping = false;
    const auto result = here.machine.endStep();
    for (const int request : result.firstTokens) {
        m_requests[request].firstTokenAt = m_now;
        if (measured(request) && !m_course.calls) {
            // A way back of 1.5 ms is left out, so that figures with one data centre stay comparable.
            const double back =
                inFirst(m_arrivals[request].entry, entryCount) == inFirst(node, endpointCount) ? 0 : m_course.remoteHop;
            m_counts.firstTokens.push_back(m_now + back - m_arrivals[request].at);
            if (m_arrivals[request].priority > 5) {
                m_counts.highFirstTokens.push_back(m_now + back - m_arrivals[request].at);
            }
        }
    }
    for (const int request : result.finished) {
        const request_state &state = m_requests[request];
        const auto nanoseconds = [](double seconds) {
            return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
        };
        --here.running;
        const double service = m_now - state.startedAt;
        here.meanServiceMs += 0.05 * (service * 1000 - here.meanServiceMs);
        here.limiter->onFinished(clock(),
                                 {.outcome = answer_outcome::answered,
                                  .firstToken = nanoseconds(state.firstTokenAt - state.startedAt),
                                  .service = nanoseconds(service),
                                  .tokens = m_course.calls ? 0 : m_arrivals[request].tokens});
        m_requests[request].atEngine = false;
        at(m_now + hop(request, node), [this, node, request] { onFinished(request, node); });
    }
    pump(node);
    step(node);
}

inline void simulation::cancel(int node, int request)
{
    node_state &here = m_nodes[node];
    if (m_requests[request].atEngine) {
        m_requests[request].atEngine = false;
        here.machine.cancel(request);
        --here.running;
        here.limiter->onFinished(clock(), {.outcome = answer_outcome::cancelled});
    } else {
        here.queue->cancel({0, static_cast<std::uint64_t>(request)});
        std::erase(here.plainQueue, request);
    }
    pump(node);
}

inline void simulation::restartEngine(int node, double awaySeconds)
{
    node_state &here = m_nodes[node];
    here.serving = false;
    here.stepping = false;
    ++here.epoch;
    ++here.starts;
    for (const int request : here.machine.restart()) {
        m_requests[request].atEngine = false;
        --here.running;
        here.limiter->onFinished(clock(), {.outcome = answer_outcome::failed});
        at(m_now + hop(request, node), [this, node, request] { onFailed(request, node); });
    }
    at(m_now + awaySeconds, [this, node, epoch = here.epoch] {
        if (m_nodes[node].epoch == epoch) {
            engineUp(node);
        }
    });
}

inline void simulation::engineUp(int node)
{
    node_state &here = m_nodes[node];
    here.serving = true;
    // The endpoint process probes before it reports itself as serving, so it knows the new start id by now.
    here.limiter->onLoadReport(clock(), {.reachable = true, .startId = std::to_string(here.starts)});
    pump(node);
}

inline void simulation::vanish(int node)
{
    node_state &here = m_nodes[node];
    here.reachable = false;
    here.serving = false;
    here.stepping = false;
    ++here.epoch;
    ++here.starts;
    for (const int request : here.machine.restart()) {
        m_requests[request].atEngine = false;
    }
    resetProcess(node);
    at(m_now + 2.25, [this, node] { onSilence(node); });
    at(m_now + 20, [this, node] {
        m_nodes[node].reachable = true;
        engineUp(node);
    });
}

} // namespace bronzechute::policy_model
