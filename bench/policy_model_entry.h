#pragma once

#include "policy_model.h"

namespace bronzechute::policy_model {

inline simulation::entry_state &simulation::entryOf(int request)
{
    return m_entries[m_arrivals[request].entry];
}

inline void simulation::arrive(int request)
{
    const arrival &each = m_arrivals[request];
    if (measured(request)) {
        ++m_counts.offered;
        m_counts.smallOffered += each.account >= m_course.floodAccounts ? 1 : 0;
        m_counts.highOffered += each.priority > 5 ? 1 : 0;
    }
    entryOf(request).budget.onRequest(clock());
    at(m_now + deadlineSeconds, [this, request] { onDeadline(request); });
    submit(request);
}

inline std::vector<endpoint_candidate> simulation::candidates(entry_state &entry, int request) const
{
    std::vector<prefix_match> matches;
    if (!m_kind.selection) {
        matches = entry.prefixes.find(chainOf(request));
    }
    std::vector<endpoint_candidate> result;
    for (int index = 0; index < endpointCount; ++index) {
        const view &known = entry.views[index];
        endpoint_candidate each = known.last;
        each.name = m_nodes[index].name;
        each.nameHash = hashName(each.name);
        each.ownInFlight = static_cast<int>(known.own.size());
        each.statusAge = std::chrono::milliseconds(static_cast<int>((m_now - known.heardAt) * 1000));
        for (const prefix_match &match : matches) {
            each.affinity = match.endpoint == each.nameHash ? match.share : each.affinity;
        }
        if (!m_kind.selection) {
            const breaker_state state = entry.breaker.state(clock(), each.name);
            each.ejected = state.ejected;
            each.probeAllowed = state.probeAllowed;
        }
        if (!m_kind.commonHash) {
            each.nameHash = each.nameHash * (2 * static_cast<std::uint64_t>(m_arrivals[request].entry) + 3);
        }
        result.push_back(each);
    }
    return result;
}

inline void simulation::submit(int request)
{
    entry_state &entry = entryOf(request);
    request_state &state = m_requests[request];
    const auto chain = chainOf(request);
    const choice_request wanted {.localDataCentre = inFirst(m_arrivals[request].entry, entryCount) ? "a" : "b",
                                 .prefixChain = chain,
                                 .priority = m_arrivals[request].priority,
                                 .tried = state.tried};
    const auto chosen = entry.chooser->choose(candidates(entry, request), wanted, m_random);
    if (!chosen) {
        state.done = true;
        return;
    }
    const int node = static_cast<int>(*chosen);
    state.node = node;
    state.tried.push_back(m_nodes[node].name);
    state.firstTokenAt = -1;
    entry.views[node].own.insert(request);
    entry.breaker.onSent(clock(), m_nodes[node].name);
    entry.prefixes.record(chain, hashName(m_nodes[node].name));
    at(m_now + hop(request, node), [this, node, request] { receive(node, request); });
}

inline void simulation::onHeartbeat(int entry, int node, const endpoint_candidate &status, int starts)
{
    view &known = m_entries[entry].views[node];
    if (known.starts != starts) {
        known.starts = starts;
        m_entries[entry].prefixes.forget(hashName(m_nodes[node].name));
    }
    known.last = status;
    known.last.ownInFlightAtStatus = static_cast<int>(known.own.size());
    known.heardAt = m_now;
}

inline void simulation::retry(int request)
{
    request_state &state = m_requests[request];
    constexpr std::size_t mostAttempts = 3;
    const bool allowed = m_kind.adaptive ? entryOf(request).budget.tryTake(clock()) : true;
    if (state.tried.size() >= mostAttempts || !allowed) {
        state.done = true;
        return;
    }
    m_counts.retries += measured(request) ? 1 : 0;
    submit(request);
}

inline void simulation::onRefused(int request, int node, bool mayRetry)
{
    entryOf(request).views[node].own.erase(request);
    entryOf(request).breaker.onNeutral(m_nodes[node].name);
    request_state &state = m_requests[request];
    if (state.done || state.node != node) {
        return;
    }
    if (mayRetry) {
        retry(request);
    } else {
        state.done = true;
    }
}

inline void simulation::onFailed(int request, int node)
{
    entryOf(request).views[node].own.erase(request);
    entryOf(request).breaker.onFailed(clock(), m_nodes[node].name);
    request_state &state = m_requests[request];
    if (state.done || state.node != node) {
        return;
    }
    if (state.firstTokenAt < 0) {
        retry(request);
    } else {
        state.done = true; // Its stream is truncated.
    }
}

inline void simulation::onFinished(int request, int node)
{
    entry_state &entry = entryOf(request);
    entry.views[node].own.erase(request);
    request_state &state = m_requests[request];
    if (state.done) {
        return;
    }
    state.done = true;
    const double pace = (m_now - state.firstTokenAt) / std::max(1, m_arrivals[request].tokens - 1);
    const double callPace = m_now - m_arrivals[request].at;
    entry.breaker.onAnswered(clock(), m_nodes[node].name, (m_course.calls ? callPace : pace) * 1000);
    if (measured(request)) {
        ++m_counts.good;
        m_counts.paces.push_back(pace);
        if (m_course.calls) {
            m_counts.firstTokens.push_back(callPace); // A call has no first token; its whole answer counts.
        }
        const arrival &each = m_arrivals[request];
        m_counts.smallGood += each.account >= m_course.floodAccounts ? 1 : 0;
        m_counts.highGood += each.priority > 5 ? 1 : 0;
        m_counts.firstGood += each.account == 0 ? 1 : 0;
        m_counts.secondGood += each.account == 1 ? 1 : 0;
    }
}

inline void simulation::onDeadline(int request)
{
    request_state &state = m_requests[request];
    if (state.done) {
        return;
    }
    state.done = true;
    const int node = state.node;
    entryOf(request).views[node].own.erase(request);
    entryOf(request).breaker.onNeutral(m_nodes[node].name);
    at(m_now + hop(request, node), [this, node, request] { cancel(node, request); });
}

inline void simulation::onSilence(int node)
{
    for (entry_state &entry : m_entries) {
        const std::set<int> lost = entry.views[node].own;
        for (const int request : lost) {
            onFailed(request, node);
        }
    }
}

} // namespace bronzechute::policy_model
