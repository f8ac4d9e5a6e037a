#include "state_digest.h"
#include "switch_simulation.h"

#include <algorithm>
#include <sstream>

namespace bronzechute {

std::uint64_t switch_simulation::digest() const
{
    state_digest digest;
    for (const auto &rank : ranks) {
        digest.add(rank);
    }
    for (const auto &coordinator : coordinators) {
        digest.add(coordinator);
    }
    digest.add(record);
    for (std::size_t rank = 0; rank < rankCount; ++rank) {
        digest.add(m_slotStep[rank] * 2 + (m_down[rank] ? 1 : 0));
    }
    for (const int count :
         {budget.drops, budget.duplicates, budget.rankKills, budget.endpointRestarts, budget.coordinatorKills,
          budget.takeovers, budget.abandons, budget.groupRestarts, budget.rankTimeouts, budget.coordinatorTimeouts}) {
        digest.add(static_cast<std::uint64_t>(count));
    }
    digest.add(m_targets[0] * 65536 + m_targets[1]);
    digest.add(m_check.generation);
    for (const auto &[step, map] : m_check.mapOfStep) {
        digest.add(step);
        digest.add(map);
    }
    std::vector<std::uint64_t> items;
    for (const auto &item : network) {
        state_digest part;
        part.add(static_cast<std::uint64_t>(item.to) * 64 + item.node * 16 + item.coordinator * 2
                 + (item.callerIsRank ? 1 : 0));
        part.add(std::uint64_t {item.payload.index()});
        std::visit([&](const auto &payload) { part.add(payload); }, item.payload);
        items.push_back(part.value());
    }
    std::sort(items.begin(), items.end());
    for (const auto item : items) {
        digest.add(item);
    }
    return digest.value();
}

std::string switch_simulation::describe() const
{
    std::ostringstream text;
    text << "record: sequence " << record.sequence << " epoch " << record.epoch << " map " << record.map
         << " firstStep " << record.firstStep << " network " << network.size() << '\n';
    for (const auto &rank : ranks) {
        const auto &engine = rank.engine();
        text << "rank: joined " << engine.joined << " replaced " << engine.replaced << " epoch " << engine.epoch
             << " map " << engine.map << " firstStep " << engine.firstStep << " nextStep " << engine.nextStep
             << " staged " << engine.staged << " hold " << (engine.hold ? engine.hold->lastStep : 0) << '\n';
    }
    for (const auto &coordinator : coordinators) {
        text << "coordinator: phase " << static_cast<int>(coordinator.phase()) << '\n';
    }
    return text.str();
}

} // namespace bronzechute
