#pragma once

#include "backend/sse_event.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/**
 * Continues a streamed completion on another engine after its stream broke. Collects the text relayed so far, creates
 * the request for the rest, and rewrites the events of that request so that the caller receives one consistent stream.
 *
 * Only complete events are relayed, because an engine cannot continue within an event. At most maxTextBytes bytes of
 * text and maxEventBytes bytes of an incomplete event are buffered. An answer that exceeds a limit, or has an event
 * that cannot be parsed, is relayed unchanged and can no longer be continued.
 */
class stream_continuation
{
public:
    static constexpr std::size_t maxTextBytes = std::size_t {256} * 1024;
    static constexpr std::size_t maxEventBytes = std::size_t {64} * 1024;

    /** Maximum request body of a continuation; leaves room for the headers in a frame, which is limited to 4 MiB. */
    static constexpr std::size_t maxBodyBytes = std::size_t {3} * 1024 * 1024;

    /** @param chat whether the request is one for /v1/chat/completions, not /v1/completions */
    stream_continuation(bool chat, const std::string &body);

    /**
     * Processes received bytes of the current attempt.
     * @returns the bytes to relay
     */
    std::string feed(std::string_view bytes);

    /**
     * Handles the complete end of the current attempt.
     * @returns the remaining bytes to relay
     */
    std::string end();

    /** @returns whether the stream must be aborted: an event of a continuation is malformed or its end is missing. */
    bool broken() const
    {
        return m_broken;
    }

    /**
     * Creates the request body after the current attempt broke.
     * @returns the body of a request that continues the text; nothing when it cannot be continued
     */
    std::optional<std::string> continuationBody() const;

    /** Discards the incomplete event of the broken attempt. The next bytes are the answer to continuationBody(). */
    void beginContinuation();

private:
    /** @returns the bytes to relay for one event, including its blank line; nothing when it is malformed. */
    std::optional<std::string> relayEvent(std::string_view raw);
    std::optional<std::string> relayDone(std::string_view raw);
    void addText(const std::string &text);
    void disableContinuation();
    bool addEvent(nlohmann::ordered_json &event);
    bool addChoice(nlohmann::ordered_json &choice);
    void applyIdentity(nlohmann::ordered_json &event);
    void adjustUsage(nlohmann::ordered_json &event);
    bool hasNewContent(const nlohmann::ordered_json &event) const;

    const bool m_chat;
    std::string m_body; ///< Body of the caller's request.
    bool m_continuable = true;
    nlohmann::ordered_json m_identity; ///< Fields of the first event that all events must repeat.
    std::string m_incompleteEvent; ///< Received bytes of an event that has not ended.
    std::string m_text;
    std::int64_t m_tokens = 0; ///< Number of tokens relayed.
    std::int64_t m_tokensBefore = 0; ///< Number of those from earlier attempts.
    bool m_roleSeen = false; ///< A role was relayed.
    bool m_roleRepeated = false; ///< The current event had a role that was relayed before.
    bool m_finished = false; ///< A finish reason was relayed.
    bool m_rewriting = false; ///< The current attempt is a continuation.
    bool m_broken = false;
};

} // namespace bronzechute
