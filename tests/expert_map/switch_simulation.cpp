#include "switch_simulation.h"

#include <algorithm>

namespace bronzechute {

switch_simulation::switch_simulation(const fault_budget &faults, std::uint64_t last, std::uint64_t margin)
    : lastStep(last), m_down(rankCount, false), m_slotStep(rankCount, 1), m_stepMargin(margin)
{
    record.map = initialMap;
    record.firstStep = 1;
    record.members.assign(rankCount, 0);
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        ranks.emplace_back(rank, m_nextIncarnation++, std::nullopt, 1);
        send(ranks.back().onTimeout(), 0, true, rank);
    }
    while (!network.empty()) {
        deliver(0);
    }
    for (std::size_t coordinator = 0; coordinator < coordinatorCount; ++coordinator) {
        coordinators.emplace_back(coordinator + 11, m_stepMargin);
    }
    send(coordinators[0].start(11), 0, false, 0);
    budget = faults;
}

void switch_simulation::send(const switch_actions &actions, std::size_t coordinator, bool fromRank, std::size_t node)
{
    for (const auto &action : actions) {
        if (const auto *message = std::get_if<switch_message>(&action)) {
            network.push_back({fromRank ? envelope::target::coordinator : envelope::target::rank,
                               fromRank ? coordinator : message->rank, coordinator, false, *message});
        } else if (const auto *call = std::get_if<store_request>(&action)) {
            network.push_back({envelope::target::store, node, coordinator, fromRank, *call});
        } else {
            network.push_back({envelope::target::rank, node, coordinator, false, std::get<load_request>(action)});
        }
    }
}

void switch_simulation::serveStore(const envelope &call)
{
    if (storeUnavailable) {
        return;
    }
    const auto &request = std::get<store_request>(call.payload);
    store_answer answer {request.tag, store_outcome::read, record};
    if (request.write) {
        const bool accepted = request.record.sequence == record.sequence + 1;
        if (accepted) {
            record = request.record;
        }
        answer = {request.tag, accepted ? store_outcome::written : store_outcome::conflict,
                  accepted ? record : map_record {}};
    }
    if (answersLost) {
        return;
    }
    network.push_back({call.callerIsRank ? envelope::target::rank : envelope::target::coordinator, call.node,
                       call.coordinator, false, answer});
}

void switch_simulation::deliver(std::size_t index)
{
    const envelope item = network[index];
    network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
    if (item.to == envelope::target::store) {
        serveStore(item);
    } else if (item.to == envelope::target::coordinator) {
        auto &coordinator = coordinators[item.node];
        if (const auto *message = std::get_if<switch_message>(&item.payload)) {
            send(coordinator.onMessage(*message), item.node, false, item.node);
        } else {
            send(coordinator.onStoreAnswer(std::get<store_answer>(item.payload)), item.node, false, item.node);
        }
    } else if (!m_down[item.node]) {
        auto &rank = ranks[item.node];
        switch_actions actions;
        if (const auto *message = std::get_if<switch_message>(&item.payload)) {
            actions = rank.onMessage(*message);
        } else if (const auto *answer = std::get_if<store_answer>(&item.payload)) {
            actions = rank.onStoreAnswer(*answer);
        } else {
            actions = rank.onLoaded(std::get<load_request>(item.payload));
        }
        send(actions, item.coordinator, true, item.node);
        if (rank.engine().joined) {
            m_slotStep[item.node] = rank.engine().nextStep;
        }
    }
}

bool switch_simulation::mayStep(std::size_t rank) const
{
    return !m_down[rank] && ranks[rank].mayStep() && ranks[rank].engine().nextStep <= lastStep
        && std::all_of(m_slotStep.begin(), m_slotStep.end(),
                       [&](std::uint64_t step) { return step >= ranks[rank].engine().nextStep; });
}

void switch_simulation::startRank(std::size_t rank)
{
    const bool groupRuns = m_slotStep[rank] != 0;
    ranks[rank] = rank_switch_state(rank, m_nextIncarnation, groupRuns ? std::optional(m_slotStep[rank]) : std::nullopt,
                                    m_nextIncarnation * 1000);
    ++m_nextIncarnation;
    m_down[rank] = false;
    send(ranks[rank].onTimeout(), 0, true, rank);
}

std::vector<simulation_event> switch_simulation::events() const
{
    std::vector<simulation_event> events;
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        if (mayStep(rank)) {
            events.push_back({event_kind::step, rank});
        }
        if (m_down[rank]) {
            events.push_back({event_kind::start_rank, rank});
            continue;
        }
        if (budget.rankKills > 0) {
            events.push_back({event_kind::kill_rank, rank});
        }
        if (budget.endpointRestarts > 0) {
            events.push_back({event_kind::restart_endpoint, rank});
        }
        if (budget.rankTimeouts > 0 && ranks[rank].isWaiting()) {
            events.push_back({event_kind::rank_timeout, rank});
        }
    }
    for (std::size_t index = 0; index < network.size(); ++index) {
        if (std::find(network.begin(), network.begin() + static_cast<std::ptrdiff_t>(index), network[index])
            != network.begin() + static_cast<std::ptrdiff_t>(index)) {
            continue; // An equal message was handled already and leads to the same states.
        }
        events.push_back({event_kind::deliver, index});
        if (std::holds_alternative<load_request>(network[index].payload)) {
            continue;
        }
        if (budget.drops > 0) {
            events.push_back({event_kind::drop, index});
        }
        if (budget.duplicates > 0) {
            events.push_back({event_kind::duplicate, index});
        }
    }
    if (budget.takeovers > 0) {
        events.push_back({event_kind::takeover, 0});
        events.push_back({event_kind::takeover, 1});
    }
    if (budget.groupRestarts > 0) {
        events.push_back({event_kind::restart_group, 0});
    }
    for (std::size_t index = 0; index < coordinatorCount; ++index) {
        const auto phase = coordinators[index].phase();
        if (phase == coordinator_phase::idle || phase == coordinator_phase::superseded) {
            continue;
        }
        if (budget.coordinatorKills > 0) {
            events.push_back({event_kind::kill_coordinator, index});
        }
        if (budget.coordinatorTimeouts > 0) {
            events.push_back({event_kind::coordinator_timeout, index});
        }
        if (budget.abandons > 0 && (phase == coordinator_phase::promising || phase == coordinator_phase::committing)) {
            events.push_back({event_kind::abandon, index});
        }
    }
    return events;
}

void switch_simulation::apply(const simulation_event &event)
{
    const std::size_t index = event.index;
    switch (event.kind) {
    case event_kind::step:
        m_check.enter(ranks[index].engine().nextStep, ranks[index].mapOfNextStep());
        ranks[index].step();
        m_slotStep[index] = ranks[index].engine().nextStep;
        break;
    case event_kind::deliver:
        deliver(index);
        break;
    case event_kind::drop:
        --budget.drops;
        network.erase(network.begin() + static_cast<std::ptrdiff_t>(index));
        break;
    case event_kind::duplicate:
        --budget.duplicates;
        network.push_back(network[index]);
        deliver(index);
        break;
    case event_kind::kill_rank:
        --budget.rankKills;
        m_down[index] = true;
        std::erase_if(network, [&](const envelope &item) {
            return item.to == envelope::target::rank && item.node == index
                && std::holds_alternative<load_request>(item.payload);
        });
        break;
    case event_kind::start_rank:
        startRank(index);
        break;
    case event_kind::restart_endpoint:
        --budget.endpointRestarts;
        send(ranks[index].restartEndpoint(m_nextIncarnation++ * 1000), 0, true, index);
        break;
    case event_kind::kill_coordinator:
        --budget.coordinatorKills;
        coordinators[index] = coordinator_switch_state(m_nextIncarnation++, m_stepMargin);
        send(coordinators[index].start(m_targets[index]), index, false, index);
        break;
    case event_kind::takeover:
        --budget.takeovers;
        m_targets[index] += 100;
        send(coordinators[index].start(m_targets[index]), index, false, index);
        break;
    case event_kind::abandon:
        --budget.abandons;
        send(coordinators[index].abandonAttempt(), index, false, index);
        break;
    case event_kind::restart_group:
        --budget.groupRestarts;
        m_check.restartGroup();
        m_slotStep.assign(rankCount, 0);
        for (std::size_t rank = 0; rank < rankCount; ++rank) {
            startRank(rank);
        }
        break;
    case event_kind::rank_timeout:
        --budget.rankTimeouts;
        send(ranks[index].onTimeout(), 0, true, index);
        break;
    case event_kind::coordinator_timeout:
        --budget.coordinatorTimeouts;
        send(coordinators[index].onTimeout(), index, false, index);
        break;
    }
}

void switch_simulation::settle(int rounds)
{
    for (int round = 0; round < rounds && !violated(); ++round) {
        for (int delivered = 0; !network.empty() && delivered < 200; ++delivered) {
            deliver(0);
        }
        for (std::size_t rank = 0; rank < rankCount; ++rank) {
            if (m_down[rank]) {
                startRank(rank);
            }
            if (mayStep(rank)) {
                apply({event_kind::step, rank});
            }
            send(ranks[rank].onTimeout(), 0, true, rank);
        }
        for (std::size_t index = coordinatorFrozen ? 1 : 0; index < coordinatorCount; ++index) {
            send(coordinators[index].onTimeout(), index, false, index);
        }
    }
}

bool switch_simulation::finishedOnRecordMap() const
{
    return std::all_of(ranks.begin(), ranks.end(), [&](const rank_switch_state &rank) {
        const auto &engine = rank.engine();
        return engine.joined && !engine.replaced && !engine.hold && engine.map == record.map
            && engine.nextStep > engine.firstStep;
    });
}

} // namespace bronzechute
