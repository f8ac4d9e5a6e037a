#pragma once

#include "backend/sse_event.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/**
 * What a streamed completion needs to go on at another engine: the text relayed so far, the next request, and the
 * events of that request rewritten so that the caller sees one stream.
 *
 * Bytes are relayed in whole events, because an engine cannot continue within one. A stream holds at most textLimit
 * bytes of text and eventLimit bytes of an incomplete event. An answer that leaves these limits, or has an event that
 * cannot be read, is relayed unchanged and can no longer be continued.
 */
class stream_continuation
{
public:
    static constexpr std::size_t textLimit = std::size_t {256} * 1024;
    static constexpr std::size_t eventLimit = std::size_t {64} * 1024;

    /** Longest request body of a continuation; leaves room for headers in a frame of 4 MiB. */
    static constexpr std::size_t bodyLimit = std::size_t {3} * 1024 * 1024;

    /** @param chat whether the request is one for /v1/chat/completions, not /v1/completions */
    stream_continuation(bool chat, const std::string &body);

    /**
     * Takes bytes of the attempt under way.
     * @returns the bytes to relay
     */
    std::string feed(std::string_view bytes);

    /**
     * The attempt under way ended whole.
     * @returns the bytes that are left to relay
     */
    std::string end();

    /** @returns whether the stream has to be cut: an event of a continuation cannot be read, or its end is missing. */
    bool broken() const
    {
        return m_broken;
    }

    /**
     * The attempt under way cannot become whole.
     * @returns the body of a request that continues the text; nothing when it cannot be continued
     */
    std::optional<std::string> nextBody() const;

    /** Forgets the incomplete event of the old attempt: the bytes that follow are those of nextBody(). */
    void beginContinuation();

private:
    /** @returns what to relay for one event, blank line included; nothing when it cannot be read. */
    std::optional<std::string> relayEvent(std::string_view raw);
    std::optional<std::string> relayDone(std::string_view raw);
    void addText(const std::string &text);
    void giveUp();
    bool addEvent(nlohmann::ordered_json &event);
    bool addChoice(nlohmann::ordered_json &choice);
    void keepIdentity(nlohmann::ordered_json &event);
    void correctUsage(nlohmann::ordered_json &event);
    bool isNews(const nlohmann::ordered_json &event) const;

    const bool m_chat;
    std::string m_body; ///< Of the caller's request.
    bool m_continuable = true;
    nlohmann::ordered_json m_identity; ///< Fields of the first event that all events have to share.
    std::string m_held; ///< The incomplete event.
    std::string m_text;
    std::int64_t m_tokens = 0; ///< Tokens of m_text.
    std::int64_t m_tokensBefore = 0; ///< Of them, those of earlier attempts.
    bool m_roleSeen = false;
    bool m_roleRepeated = false; ///< The event under way had a role that the caller already has.
    bool m_finished = false; ///< A finish reason was relayed.
    bool m_rewriting = false; ///< The attempt under way is a continuation.
    bool m_broken = false;
};

} // namespace bronzechute
