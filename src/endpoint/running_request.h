#pragma once

#include "backend/back_end.h"
#include "base/boot_clock.h"
#include "base/ranked_mutex.h"
#include "endpoint/request_observer.h"
#include "link/link.h"
#include "link/link_handler.h"
#include "request/send_window.h"
#include "wire/frame.h"

#include <opentracing/span.h>

#include <memory>
#include <optional>
#include <variant>

namespace bronzechute {

/**
 * An attempt that was passed to the engine. Sends the answer to the entry in frames, within the send window, and
 * retains the frames that are not credited, so that the entry can resume over a new connection.
 */
class running_request final : public answer_sink
{
public:
    /** @param span trace span of this request at the endpoint; finished when the answer ends */
    running_request(const submit_frame &submit, link_ptr connection, request_observer &observer,
                    std::unique_ptr<opentracing::Span> span);

    /** Sets the handle of the transfer, and cancels it if cancel() was called before. */
    void setTransfer(const std::shared_ptr<transfer> &handle);

    void onHead(int status, const header_list &headers) override;
    bool onBytes(std::string_view bytes) override;
    void onEnd() override;
    void onError(const error &failure, bool mayHaveRun) override;

    /** Handles credit from the entry: it has relayed all frames below the sequence number. */
    void credit(std::uint64_t nextSequence);

    /**
     * Continues over a new connection.
     * @param nextSequence the first frame that the entry has not received
     */
    void resumeOn(const link_ptr &connection, std::uint64_t nextSequence);

    /** Aborts the request at the engine. */
    void cancel();

    /** Handles a lost connection. @returns whether this request used it. */
    bool dropConnection(const link_ptr &connection, time_point now);

    /** @returns since when this request has had no connection; nothing while it has one. */
    std::optional<time_point> disconnectedSince() const;

    /** @returns whether the answer has ended and the entry has credited all of it. */
    bool isDelivered() const;

    /** @returns when the answer ended, or nothing while it runs. */
    std::optional<time_point> endedAt() const;

    const submit_frame &submit() const
    {
        return m_submit;
    }

private:
    using terminal_frame = std::variant<end_frame, failed_frame, refused_frame>;

    void sendLocked(const frame &message);
    void sendTerminalLocked();
    void finish(terminal_frame terminal, answer_outcome outcome);

    const submit_frame m_submit;
    request_observer &m_observer;
    const std::unique_ptr<opentracing::Span> m_span;
    const time_point m_startedAt;

    mutable ranked_mutex m_mutex {lock_rank::request};
    link_ptr m_connection;
    std::shared_ptr<transfer> m_transfer;
    send_window m_window;
    std::optional<response_head_frame> m_head;
    std::optional<terminal_frame> m_terminal;
    std::optional<time_point> m_firstByteAt;
    std::optional<time_point> m_disconnectedSince;
    std::optional<time_point> m_endedAt;
    int m_eventCount = 0; ///< Server-sent events that have ended, counted by their blank lines.
    bool m_paused = false;
    bool m_cancelled = false;
    bool m_terminalCredited = false;
};

} // namespace bronzechute
