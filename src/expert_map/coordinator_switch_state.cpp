#include "expert_map/coordinator_switch_state.h"

#include <algorithm>

namespace bronzechute {

coordinator_switch_state::coordinator_switch_state(std::uint64_t owner, std::uint64_t margin)
    : m_owner(owner), m_stepMargin(margin)
{
}

switch_actions coordinator_switch_state::start(map_id target)
{
    m_target = target;
    m_cancelling = false;
    m_fenceAtStart = m_record.fence;
    m_phase = coordinator_phase::acquiring;
    return {readRequest()};
}

switch_actions coordinator_switch_state::cancel()
{
    switch (m_phase) {
    case coordinator_phase::acquiring:
    case coordinator_phase::staging:
        m_phase = coordinator_phase::cancelled;
        return {};
    case coordinator_phase::promising:
    case coordinator_phase::committing:
        m_cancelling = true;
        return abandonAttempt();
    case coordinator_phase::aborting:
        m_cancelling = true;
        return {};
    default:
        return {};
    }
}

switch_actions coordinator_switch_state::abandonAttempt()
{
    if (m_phase != coordinator_phase::promising && m_phase != coordinator_phase::committing) {
        return {};
    }
    m_phase = coordinator_phase::aborting;
    return {nextWriteRequest()};
}

store_request coordinator_switch_state::readRequest()
{
    return {.tag = m_nextTag++, .write = false, .record = {}};
}

store_request coordinator_switch_state::nextWriteRequest()
{
    store_request request {.tag = m_nextTag++, .write = true, .record = m_record};
    ++request.record.sequence;
    return request;
}

store_request coordinator_switch_state::takeoverRequest()
{
    store_request request = nextWriteRequest();
    ++request.record.fence;
    request.record.owner = m_owner;
    return request;
}

store_request coordinator_switch_state::commitRequest()
{
    store_request request = nextWriteRequest();
    ++request.record.epoch;
    request.record.previousMap = request.record.map;
    request.record.map = m_target;
    request.record.firstStep = m_lastStep + 1;
    return request;
}

switch_actions coordinator_switch_state::onStoreAnswer(const store_answer &answer)
{
    switch (answer.outcome) {
    case store_outcome::read:
    case store_outcome::written:
        return applyRecord(answer.record);
    case store_outcome::conflict:
    case store_outcome::unknown:
        // The conflict may come from an earlier copy of the same write: only the record shows which write was accepted.
        return {readRequest()};
    case store_outcome::unavailable:
        break;
    }
    return {};
}

switch_actions coordinator_switch_state::applyRecord(const map_record &record)
{
    if (record.sequence < m_record.sequence) {
        return {};
    }
    const bool changed = record.sequence != m_record.sequence || m_record.members.empty();
    m_record = record;
    if (m_phase == coordinator_phase::acquiring) {
        // The current owner also takes over: this ends an attempt that it left open and releases the held ranks.
        const bool acquired = record.owner == m_owner && record.fence > m_fenceAtStart;
        return acquired ? beginStaging() : switch_actions {takeoverRequest()};
    }
    using enum coordinator_phase;
    if (m_phase == idle || m_phase == cancelled || m_phase == superseded) {
        return {};
    }
    if (record.owner != m_owner) {
        m_phase = superseded;
        return {};
    }
    if (m_phase == committed || m_phase == staging) {
        return changed && m_phase == staging ? beginStaging() : switch_actions {};
    }
    if (record.sequence >= m_attemptSequence) {
        return finishAttempt();
    }
    // The write has not taken effect but may still do so. Repeating it is safe because only one write with a given
    // sequence number can be accepted.
    if (m_phase == coordinator_phase::committing) {
        return {commitRequest()};
    }
    if (m_phase == coordinator_phase::aborting) {
        return {nextWriteRequest()};
    }
    return {};
}

switch_actions coordinator_switch_state::finishAttempt()
{
    if (m_record.map == m_target) {
        m_phase = coordinator_phase::committed;
        return broadcast(switch_message_kind::commit);
    }
    switch_actions actions = broadcast(switch_message_kind::abort);
    if (m_cancelling) {
        m_phase = coordinator_phase::cancelled;
        return actions;
    }
    for (auto &action : beginStaging()) {
        actions.push_back(std::move(action));
    }
    return actions;
}

switch_actions coordinator_switch_state::beginStaging()
{
    if (m_record.map == m_target) {
        m_phase = coordinator_phase::committed;
        return broadcast(switch_message_kind::commit);
    }
    m_phase = coordinator_phase::staging;
    m_progress.assign(m_record.members.size(), rank_progress {});
    return requestMissingStaging();
}

switch_actions coordinator_switch_state::requestMissingStaging() const
{
    switch_actions actions;
    for (std::size_t rank = 0; rank < m_progress.size(); ++rank) {
        if (!m_progress[rank].staged && m_record.members[rank] != 0) {
            actions.emplace_back(switch_message {.kind = switch_message_kind::stage,
                                                 .rank = rank,
                                                 .fence = m_record.fence,
                                                 .map = m_target,
                                                 .record = {}});
        }
    }
    return actions;
}

switch_actions coordinator_switch_state::broadcast(switch_message_kind kind) const
{
    switch_actions actions;
    for (std::size_t rank = 0; rank < m_record.members.size(); ++rank) {
        actions.emplace_back(
            switch_message {.kind = kind, .rank = rank, .fence = m_record.fence, .map = m_target, .record = m_record});
    }
    return actions;
}

bool coordinator_switch_state::allStaged() const
{
    return std::all_of(m_progress.begin(), m_progress.end(), [](const rank_progress &rank) { return rank.staged; });
}

switch_actions coordinator_switch_state::beginPromising()
{
    m_phase = coordinator_phase::promising;
    m_attemptSequence = m_record.sequence + 1;
    // The previous switch takes effect first, so that a replacement rank needs at most two maps.
    std::uint64_t latest = m_record.firstStep;
    for (const auto &rank : m_progress) {
        latest = std::max(latest, rank.nextStep);
    }
    m_lastStep = latest + m_stepMargin;
    return requestMissingPromises();
}

switch_actions coordinator_switch_state::requestMissingPromises() const
{
    switch_actions actions;
    for (std::size_t rank = 0; rank < m_progress.size(); ++rank) {
        if (!m_progress[rank].promised) {
            actions.emplace_back(switch_message {.kind = switch_message_kind::promise_request,
                                                 .rank = rank,
                                                 .fence = m_record.fence,
                                                 .sequence = m_attemptSequence,
                                                 .epoch = m_record.epoch,
                                                 .map = m_target,
                                                 .step = m_lastStep,
                                                 .record = {}});
        }
    }
    return actions;
}

switch_actions coordinator_switch_state::onMessage(const switch_message &message)
{
    if (message.rank >= m_progress.size() || message.incarnation != m_record.members[message.rank]
        || message.fence != m_record.fence || message.map != m_target) {
        return {};
    }
    if (message.kind == switch_message_kind::staged) {
        return onStaged(message);
    }
    return message.kind == switch_message_kind::promise ? onPromise(message) : switch_actions {};
}

switch_actions coordinator_switch_state::onStaged(const switch_message &message)
{
    if (m_phase != coordinator_phase::staging) {
        return {};
    }
    auto &progress = m_progress[message.rank];
    progress.staged = true;
    progress.nextStep = std::max(progress.nextStep, message.step);
    return allStaged() ? beginPromising() : switch_actions {};
}

switch_actions coordinator_switch_state::onPromise(const switch_message &message)
{
    if (m_phase != coordinator_phase::promising || message.sequence != m_attemptSequence) {
        return {};
    }
    auto &progress = m_progress[message.rank];
    progress.nextStep = std::max(progress.nextStep, message.step);
    switch (message.refusal) {
    case promise_refusal::none:
        progress.promised = true;
        break;
    case promise_refusal::too_late:
        m_stepMargin *= 2;
        return abandonAttempt();
    case promise_refusal::not_staged:
        return abandonAttempt();
    case promise_refusal::stale_fence:
    case promise_refusal::stale_sequence:
        return {readRequest()};
    case promise_refusal::fence_unknown:
    case promise_refusal::not_joined:
    case promise_refusal::other_epoch:
    case promise_refusal::switch_pending:
        return {}; // The request is sent again on the next timeout.
    }
    const bool all =
        std::all_of(m_progress.begin(), m_progress.end(), [](const rank_progress &rank) { return rank.promised; });
    if (!all) {
        return {};
    }
    m_phase = coordinator_phase::committing;
    return {commitRequest()};
}

switch_actions coordinator_switch_state::onTimeout()
{
    switch (m_phase) {
    case coordinator_phase::acquiring:
    case coordinator_phase::committing:
    case coordinator_phase::aborting:
        return {readRequest()};
    case coordinator_phase::staging:
    case coordinator_phase::promising: {
        // The record is read as well because absent or replaced ranks join by writing it.
        const bool staging = m_phase == coordinator_phase::staging;
        switch_actions actions = staging ? requestMissingStaging() : requestMissingPromises();
        actions.emplace_back(readRequest());
        return actions;
    }
    case coordinator_phase::committed:
        return broadcast(switch_message_kind::commit);
    default:
        return {};
    }
}

} // namespace bronzechute
