#pragma once

#include "gateway/caller_response.h"
#include "gateway/event_stream_parser.h"
#include "gateway/response_head.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzechute {

/**
 * Passes the events of a stream on to its caller, over all attempts at the request. Once the stream has ids, each event
 * needs the next one: bytes that an endpoint sends in place of its events, such as the text of an error, are a fault.
 */
class event_relay
{
public:
    /** @param resumeAfter id of the last event that the caller already has; nothing for a whole stream */
    event_relay(std::shared_ptr<caller_response> response, std::optional<std::int64_t> resumeAfter);

    /** Drops what is left of the previous attempt. */
    void startAttempt();

    /** Sets the head for the caller, unless an event was relayed, with which an earlier head was. */
    void setHead(const response_head &head);

    /** @returns the events that these bytes of the current attempt complete, for relay(). */
    std::vector<raw_event> parse(std::string_view bytes);

    /** Passes on an event that the caller does not have yet. @returns why the attempt must be broken off, or null */
    const char *relay(const raw_event &event);

    /** @returns why the attempt must be broken off because of incomplete data, or null. */
    const char *faultOfPending() const;

    /** @returns the bytes that are held until their event is complete, or the first event comes. */
    std::size_t pendingBytes() const
    {
        return m_parser.pendingBytes() + m_comments.size();
    }

    /** The response of the current attempt has ended. @returns why the stream is not complete, or null */
    const char *completeAttempt();

    /** @returns whether the caller has got the head, so that nothing but the rest of the stream may follow. */
    bool begun() const
    {
        return m_begun;
    }

    /** @returns the head that the caller gets or has got. */
    const response_head &head() const
    {
        return m_head;
    }

    /** @returns the id after which another attempt has to continue; nothing if no event was relayed. */
    std::optional<std::int64_t> resumeAfter() const
    {
        return m_eventsRelayed > 0 ? m_lastEventId : std::nullopt;
    }

    std::int64_t eventsRelayed() const
    {
        return m_eventsRelayed;
    }

    /** @returns the number of events of the current attempt. */
    std::int64_t attemptEvents() const
    {
        return m_attemptEvents;
    }

private:
    void begin();
    const char *relayComment(const raw_event &event);

    const std::shared_ptr<caller_response> m_response;
    response_head m_head;
    event_stream_parser m_parser;
    std::string m_comments; ///< Before the first event. Until then, another endpoint can still be asked.
    std::optional<std::int64_t> m_lastEventId;
    std::int64_t m_eventsRelayed = 0;
    std::int64_t m_attemptEvents = 0;
    bool m_begun = false;
};

} // namespace bronzechute
