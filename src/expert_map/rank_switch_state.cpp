#include "expert_map/rank_switch_state.h"

#include <algorithm>

namespace bronzechute {

rank_switch_state::rank_switch_state(std::size_t rank, std::uint64_t incarnation,
                                     std::optional<std::uint64_t> groupStep, std::uint64_t tagBase)
    : m_rank(rank), m_groupStep(groupStep), m_nextTag(tagBase)
{
    m_engine.incarnation = incarnation;
}

switch_actions rank_switch_state::restartEndpoint(std::uint64_t tagBase)
{
    m_fence.reset();
    m_sequence = 0;
    m_nextTag = tagBase;
    m_readTag = 0;
    m_stageFence = 0;
    m_joinBase.reset();
    return {readRequest()};
}

store_request rank_switch_state::readRequest()
{
    m_readTag = m_nextTag++;
    return {.tag = m_readTag, .write = false, .record = {}};
}

switch_actions rank_switch_state::onMessage(const switch_message &message)
{
    switch (message.kind) {
    case switch_message_kind::stage:
        return onStage(message);
    case switch_message_kind::promise_request:
        return onPromiseRequest(message);
    case switch_message_kind::commit:
    case switch_message_kind::abort:
        // A coordinator sends only records that the store has confirmed, so they are as reliable as a store answer.
        // They do not rule out a higher fencing number, so m_fence stays unknown after a restart.
        applyRecord(message.record);
        return {};
    case switch_message_kind::staged:
    case switch_message_kind::promise:
        break;
    }
    return {};
}

switch_actions rank_switch_state::onStage(const switch_message &message)
{
    if (!m_engine.joined || m_engine.replaced || !m_fence || message.fence < *m_fence) {
        return {};
    }
    m_fence = message.fence;
    m_stageFence = message.fence;
    if (m_engine.staged == message.map) {
        return onLoaded({message.map, 0});
    }
    if (m_engine.hold) {
        // The weights of the promised map must stay loaded until the decision is known.
        return {};
    }
    return {load_request {message.map, 0}};
}

switch_actions rank_switch_state::onLoaded(const load_request &load)
{
    if (!m_engine.joined) {
        if (!m_joinBase || m_joinBase->map != load.map) {
            return {};
        }
        map_record record = *m_joinBase;
        ++record.sequence;
        record.members.at(m_rank) = m_engine.incarnation;
        return {store_request {.tag = m_nextTag++, .write = true, .record = std::move(record)}};
    }
    if (m_engine.hold && m_engine.hold->map != load.map) {
        return {};
    }
    m_engine.staged = load.map;
    return {switch_message {.kind = switch_message_kind::staged,
                            .rank = m_rank,
                            .incarnation = m_engine.incarnation,
                            .fence = m_stageFence,
                            .map = load.map,
                            .step = m_engine.nextStep,
                            .record = {}}};
}

promise_refusal rank_switch_state::refusalOf(const switch_message &message) const
{
    if (!m_engine.joined || m_engine.replaced) {
        return promise_refusal::not_joined;
    }
    if (!m_fence) {
        return promise_refusal::fence_unknown;
    }
    if (message.fence < *m_fence) {
        return promise_refusal::stale_fence;
    }
    const bool repeated = m_engine.hold && m_engine.hold->sequence == message.sequence;
    if (message.sequence <= m_sequence || (m_engine.hold && message.sequence < m_engine.hold->sequence)
        || (repeated && (m_engine.hold->map != message.map || m_engine.hold->lastStep != message.step))) {
        return promise_refusal::stale_sequence;
    }
    // A record of the rank's own epoch with a later sequence number also proves that the held attempt was aborted.
    if (message.epoch != m_engine.epoch) {
        return promise_refusal::other_epoch;
    }
    if (m_engine.nextStep < m_engine.firstStep) {
        return promise_refusal::switch_pending;
    }
    if (m_engine.staged != message.map) {
        return promise_refusal::not_staged;
    }
    if (m_engine.nextStep > message.step + 1) {
        return promise_refusal::too_late;
    }
    return promise_refusal::none;
}

switch_actions rank_switch_state::onPromiseRequest(const switch_message &message)
{
    const promise_refusal refusal = refusalOf(message);
    if (refusal == promise_refusal::none) {
        m_fence = message.fence;
        m_engine.hold = step_hold {message.sequence, message.step, message.map};
    }
    switch_actions actions {switch_message {.kind = switch_message_kind::promise,
                                            .rank = m_rank,
                                            .incarnation = m_engine.incarnation,
                                            .fence = message.fence,
                                            .sequence = message.sequence,
                                            .epoch = m_engine.epoch,
                                            .map = message.map,
                                            .step = m_engine.nextStep,
                                            .refusal = refusal,
                                            .record = {}}};
    if (refusal == promise_refusal::fence_unknown || refusal == promise_refusal::other_epoch) {
        actions.emplace_back(readRequest());
    }
    return actions;
}

switch_actions rank_switch_state::onStoreAnswer(const store_answer &answer)
{
    switch (answer.outcome) {
    case store_outcome::unavailable:
    case store_outcome::unknown:
        return {};
    case store_outcome::conflict:
        if (!m_engine.joined) {
            return {readRequest()};
        }
        return {};
    case store_outcome::read:
    case store_outcome::written:
        break;
    }
    applyRecord(answer.record);
    if (answer.outcome == store_outcome::read && answer.tag == m_readTag) {
        m_fence = std::max(m_fence.value_or(0), answer.record.fence);
    }
    if (!m_engine.joined && !m_engine.replaced && answer.tag == m_readTag) {
        m_joinBase = answer.record;
        return {load_request {answer.record.map, answer.record.previousMap}};
    }
    return {};
}

void rank_switch_state::join(const map_record &record)
{
    // Each later map change needs a promise of this incarnation, so the record's map stays current until then.
    m_engine.joined = true;
    m_engine.joinSequence = record.sequence;
    m_engine.epoch = record.epoch;
    m_engine.map = record.map;
    m_engine.previousMap = record.previousMap;
    m_engine.firstStep = record.firstStep;
    m_engine.nextStep = m_groupStep.value_or(record.firstStep);
    m_joinBase.reset();
}

void rank_switch_state::applyRecord(const map_record &record)
{
    if (m_engine.replaced || record.sequence < m_sequence || record.members.size() <= m_rank) {
        return;
    }
    const bool member = record.members[m_rank] == m_engine.incarnation;
    if (!m_engine.joined) {
        if (member) {
            m_sequence = record.sequence;
            join(record);
        }
        return;
    }
    if (record.sequence < m_engine.joinSequence) {
        return;
    }
    m_sequence = record.sequence;
    if (m_fence) {
        m_fence = std::max(*m_fence, record.fence);
    }
    if (!member) {
        m_engine.replaced = true;
        return;
    }
    if (record.epoch < m_engine.epoch) {
        return;
    }
    if (record.epoch > m_engine.epoch) {
        // Every commit needs this rank's promise, so only the map of its hold can have been committed.
        if (record.epoch != m_engine.epoch + 1 || !m_engine.hold || m_engine.hold->map != record.map) {
            m_engine.replaced = true;
            return;
        }
        m_engine.epoch = record.epoch;
        m_engine.previousMap = m_engine.map;
        m_engine.map = record.map;
        m_engine.firstStep = record.firstStep;
        m_engine.staged = 0;
        m_engine.hold.reset();
        return;
    }
    if (m_engine.hold && m_engine.hold->sequence <= record.sequence) {
        m_engine.hold.reset();
    }
}

bool rank_switch_state::isWaiting() const
{
    return !m_engine.replaced && (!m_engine.joined || !m_fence || m_engine.hold);
}

switch_actions rank_switch_state::onTimeout()
{
    if (!isWaiting()) {
        return {};
    }
    return {readRequest()};
}

bool rank_switch_state::mayStep() const
{
    return m_engine.joined && !m_engine.replaced && (!m_engine.hold || m_engine.nextStep <= m_engine.hold->lastStep);
}

map_id rank_switch_state::mapOfNextStep() const
{
    return m_engine.nextStep >= m_engine.firstStep ? m_engine.map : m_engine.previousMap;
}

void rank_switch_state::step()
{
    ++m_engine.nextStep;
}

} // namespace bronzechute
