#include "gateway/relay_announcer.h"

#include <algorithm>

namespace bronzechute {

namespace {

// Several are sent within the time after which the others take this gateway for silent.
constexpr std::chrono::milliseconds heartbeatInterval {200};
// A request waits for changes for up to 400 ms, or 1 s if the watchers of other data centres show that there are some,
// and follows the one before by up to 250 ms. The rest is for a store and a process that are not as quick as usual.
constexpr std::chrono::milliseconds maxKnowledgeAge {1000};
constexpr std::chrono::milliseconds maxCheckedAge {1600};
// Watchers name their revision about every 120 ms.
constexpr std::chrono::milliseconds otherTimeout {1500};
// Two watchers that are well learn of a change up to 250 ms apart.
constexpr std::chrono::milliseconds behindTimeout {400};
constexpr std::size_t maxUnsent = 64; ///< More than can be read between two calls, unless the loop is held up.
constexpr std::size_t eventOverhead = 16; ///< Bytes of a revision and the lengths of key and value.

std::size_t sizeOf(const store_event &event)
{
    return event.entry.key.size() + event.entry.value.size() + eventOverhead;
}

} // namespace

relay_announcer::relay_announcer(std::uint64_t incarnation) : m_incarnation(incarnation)
{
}

void relay_announcer::start()
{
    m_unsent.clear();
    onOutage(); // Until the store answers this gateway itself.
}

void relay_announcer::onRead(const store_changes &changes, time_point knownAt, bool settled, bool keep)
{
    m_revision = std::max(m_revision, changes.revision);
    m_knownAt = std::max(m_knownAt, knownAt);
    m_answering = true;
    m_settled = settled;
    m_behindSince = m_otherRevision > m_revision ? std::optional(knownAt) : std::nullopt;
    if (!keep || changes.revision == changes.after) {
        return;
    }
    m_unsent.push_back(changes);
    if (m_unsent.size() > maxUnsent) {
        m_unsent.pop_front(); // The others notice that it is missing, and read it themselves.
    }
}

void relay_announcer::onOutage()
{
    m_answering = false;
    m_settled = false;
}

void relay_announcer::hearOther(std::int64_t revision, time_point now)
{
    if (!isChecked(now)) {
        m_otherRevision = 0; // Of a watcher that is not heard any more.
        m_behindSince.reset();
    }
    m_otherHeardAt = now;
    m_otherRevision = std::max(m_otherRevision, revision);
    if (m_otherRevision > m_revision && !m_behindSince) {
        m_behindSince = now;
    }
}

bool relay_announcer::isChecked(time_point now) const
{
    return m_otherHeardAt != time_point {} && now - m_otherHeardAt <= otherTimeout;
}

std::int64_t relay_announcer::revision(time_point now) const
{
    return isAnswering(now) ? m_revision : 0;
}

bool relay_announcer::isAnswering(time_point now) const
{
    const bool isBehind = isChecked(now) && m_behindSince && now - *m_behindSince > behindTimeout;
    return m_answering && !isBehind && now - m_knownAt <= (isChecked(now) ? maxCheckedAge : maxKnowledgeAge);
}

bool relay_announcer::isSettled(time_point now) const
{
    return m_settled && isAnswering(now);
}

store_message relay_announcer::makeMessage(time_point now)
{
    store_message message;
    message.incarnation = m_incarnation;
    message.sequence = ++m_sequence;
    message.answering = isAnswering(now);
    message.settled = isSettled(now);
    message.ageMs = static_cast<int>(
        std::clamp<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_knownAt).count(), 0,
                                 std::chrono::milliseconds(std::chrono::minutes(1)).count()));
    message.revision = m_revision;
    m_sentAt = now;
    m_saidAnswering = message.answering;
    m_saidSettled = message.settled;
    return message;
}

void relay_announcer::addChanges(const store_changes &changes, time_point now, std::vector<store_message> &messages)
{
    std::vector<store_event> events = changes.events;
    std::ranges::stable_sort(events, {}, [](const store_event &event) { return event.entry.modRevision; });
    store_changes part {changes.after, changes.after, {}};
    std::size_t partBytes = 0;
    for (std::size_t index = 0; index < events.size();) {
        // The events of one revision stay together, as a part is complete up to its revision.
        const std::int64_t revision = events[index].entry.modRevision;
        std::size_t end = index;
        std::size_t bytes = 0;
        for (; end < events.size() && events[end].entry.modRevision == revision; ++end) {
            bytes += sizeOf(events[end]);
        }
        if (partBytes + bytes > maxChangeBytes && !part.events.empty()) {
            messages.push_back(makeMessage(now));
            messages.back().changes = part;
            part = {part.revision, part.revision, {}};
            partBytes = 0;
        }
        if (bytes > maxChangeBytes) {
            return; // The next message shows that there is a change, which each of the others then reads itself.
        }
        part.events.insert(part.events.end(), events.begin() + static_cast<std::ptrdiff_t>(index),
                           events.begin() + static_cast<std::ptrdiff_t>(end));
        part.revision = revision;
        partBytes += bytes;
        index = end;
    }
    part.revision = changes.revision;
    messages.push_back(makeMessage(now));
    messages.back().changes = std::move(part);
}

std::vector<store_message> relay_announcer::takeDue(time_point now)
{
    std::vector<store_message> messages;
    for (const store_changes &changes : m_unsent) {
        addChanges(changes, now, messages);
    }
    const bool isNews = !m_unsent.empty() || isSettled(now) != m_saidSettled || isAnswering(now) != m_saidAnswering;
    m_unsent.clear();
    if (messages.empty() && (isNews || now - m_sentAt >= heartbeatInterval)) {
        messages.push_back(makeMessage(now));
    }
    return messages;
}

} // namespace bronzechute
