#include "gateway/event_relay.h"

namespace bronzechute {

namespace {

// Bytes that are no answer may come without end.
constexpr std::size_t eventLimitBytes = std::size_t {1024} * 1024;

} // namespace

event_relay::event_relay(std::shared_ptr<caller_response> response, std::optional<std::int64_t> resumeAfter)
    : m_response(std::move(response)), m_lastEventId(resumeAfter)
{
}

void event_relay::startAttempt()
{
    m_parser = {};
    m_comments.clear();
    m_attemptEvents = 0;
}

void event_relay::setHead(const response_head &head)
{
    if (!m_begun) {
        m_head = head;
    }
}

std::vector<raw_event> event_relay::parse(std::string_view bytes)
{
    return m_parser.feed(bytes);
}

const char *event_relay::relay(const raw_event &event)
{
    if (event.isComment()) {
        return relayComment(event);
    }
    if (!event.id && m_lastEventId) {
        return "event has no id";
    }
    const bool hasPredecessor = event.id && m_lastEventId;
    if (hasPredecessor && *event.id <= *m_lastEventId) {
        ++m_attemptEvents;
        return nullptr; // Already relayed from an earlier attempt.
    }
    if (hasPredecessor && *event.id != *m_lastEventId + 1) {
        return "event id is not consecutive";
    }
    ++m_attemptEvents;
    begin();
    if (event.id) {
        m_lastEventId = event.id;
    }
    ++m_eventsRelayed;
    m_response->send(event.bytes);
    return nullptr;
}

const char *event_relay::relayComment(const raw_event &event)
{
    if (m_begun) {
        m_response->send(event.bytes);
        return nullptr;
    }
    m_comments += event.bytes;
    return m_comments.size() > eventLimitBytes ? "comments exceed the size limit" : nullptr;
}

void event_relay::begin()
{
    if (m_begun) {
        return;
    }
    m_begun = true;
    m_response->begin(m_head);
    m_response->send(m_comments);
}

const char *event_relay::faultOfPending() const
{
    return m_parser.pendingBytes() > eventLimitBytes ? "event exceeds the size limit" : nullptr;
}

const char *event_relay::completeAttempt()
{
    if (m_parser.hasPartial()) {
        return "stream ended within an event";
    }
    if (m_head.endsWithConnection && m_attemptEvents == 0) {
        return "connection ended before the first event";
    }
    if (m_begun && m_attemptEvents == 0) {
        return "resumed stream ended without an event";
    }
    begin();
    return nullptr;
}

} // namespace bronzechute
