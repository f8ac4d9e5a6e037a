#pragma once

#include "expert_map/coordinator_switch_state.h"
#include "expert_map/rank_switch_state.h"

#include <xxhash.h>

#include <cstdint>
#include <vector>

namespace bronzechute {

/** Hashes the complete state of the switching protocol, to detect states that were visited before. */
struct state_digest
{
    std::vector<std::uint64_t> words;

    void add(std::uint64_t word)
    {
        words.push_back(word);
    }

    void add(const map_record &record)
    {
        for (const auto word : {record.sequence, record.fence, record.owner, record.epoch, record.map,
                                record.previousMap, record.firstStep, std::uint64_t {record.members.size()}}) {
            add(word);
        }
        words.insert(words.end(), record.members.begin(), record.members.end());
    }

    void add(const switch_message &message)
    {
        for (const auto word : {static_cast<std::uint64_t>(message.kind), std::uint64_t {message.rank},
                                message.incarnation, message.fence, message.sequence, message.epoch, message.map,
                                message.step, static_cast<std::uint64_t>(message.refusal)}) {
            add(word);
        }
        add(message.record);
    }

    void add(const store_request &request)
    {
        add(request.tag * 2 + (request.write ? 1 : 0));
        add(request.record);
    }

    void add(const store_answer &answer)
    {
        add(answer.tag * 8 + static_cast<std::uint64_t>(answer.outcome));
        add(answer.record);
    }

    void add(const load_request &load)
    {
        add(load.map);
        add(load.previousMap);
    }

    void add(const rank_switch_state &rank)
    {
        const auto &engine = rank.m_engine;
        for (const auto word : {engine.incarnation, std::uint64_t {engine.joined} * 2 + std::uint64_t {engine.replaced},
                                engine.joinSequence, engine.epoch, engine.map, engine.previousMap, engine.firstStep,
                                engine.nextStep, engine.staged, engine.hold ? engine.hold->sequence : 0,
                                engine.hold ? engine.hold->lastStep : 0, engine.hold ? engine.hold->map : 0,
                                rank.m_groupStep.value_or(0), rank.m_fence.value_or(0), rank.m_sequence, rank.m_nextTag,
                                rank.m_readTag, rank.m_stageFence, std::uint64_t {rank.m_joinBase.has_value()}}) {
            add(word);
        }
        if (rank.m_joinBase) {
            add(*rank.m_joinBase);
        }
    }

    void add(const coordinator_switch_state &coordinator)
    {
        for (const auto word :
             {coordinator.m_owner, coordinator.m_stepMargin, static_cast<std::uint64_t>(coordinator.m_phase),
              std::uint64_t {coordinator.m_cancelling}, coordinator.m_target, coordinator.m_attemptSequence,
              coordinator.m_fenceAtStart, coordinator.m_lastStep, coordinator.m_nextTag}) {
            add(word);
        }
        add(coordinator.m_record);
        for (const auto &progress : coordinator.m_progress) {
            add(progress.nextStep * 4 + (progress.staged ? 2 : 0) + (progress.promised ? 1 : 0));
        }
    }

    std::uint64_t value() const
    {
        return XXH3_64bits(words.data(), words.size() * sizeof(std::uint64_t));
    }
};

} // namespace bronzechute
