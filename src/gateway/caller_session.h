#pragma once

#include "gateway/memory_holder.h"
#include "gateway/memory_share.h"
#include "gateway/request_handler.h"
#include "gateway/session_options.h"
#include "gateway/session_owner.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * Server side of a caller's HTTP/1.1 connection. Handles one request at a time; pipelined requests wait.
 *
 * A session is always in one phase. Each change of the phase gets a new number, and a read, wait or timer that was
 * started in one phase has no effect in a later one, even if its completion was queued before the change.
 *
 * All bytes that it holds are drawn from a memory_budget before they are read, or counted as soon as they exist.
 */
class caller_session : public memory_holder, public std::enable_shared_from_this<caller_session>
{
public:
    /** The handler, the options, the owner and the budget must outlive all work of the event loop. */
    caller_session(boost::asio::ip::tcp::socket socket, request_handler &handler, const session_options &options,
                   session_owner &owner, memory_budget &budget);

    void start();

    /**
     * Closes a connection on which no request is in progress and none has arrived.
     * @param alsoUnused whether to close one that has not carried a request yet
     */
    void closeIfIdle(bool alsoUnused);

    /** The process ends: tells the caller what is known of its request, if one is being served. */
    void endRequest();

    /** @returns whether a request is being received or its response is being sent. */
    bool busy() const
    {
        return m_phase != phase::idle && m_phase != phase::closed;
    }

    /** @returns whether the connection can be closed for a new one, as no request on it may have begun to run. */
    bool replaceable() const
    {
        return m_phase != phase::serving && m_phase != phase::closed;
    }

    /** @returns the beginning of the current phase. */
    time_point phaseSince() const
    {
        return m_phaseSince;
    }

    void giveBackMemory() override;

    /** @returns whether the request with this number is being served and its response has not ended. */
    bool isServing(std::uint64_t request) const
    {
        return m_phase == phase::serving && m_phaseNumber == request;
    }

    void close();

private:
    friend class session_response;

    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    enum class phase {
        idle, ///< Waits for the first byte of a request.
        reading_head,
        reading_body,
        serving, ///< From the complete request to the end of its response.
        finishing, ///< The response has ended, but its last bytes are still being written.
        discarding, ///< The response was written before the request was read; waits for the caller to read it.
        closed,
    };

    void enter(phase next);

    /** @returns a completion handler that calls the function only if the session is still in the current phase. */
    template<typename Function>
    auto inThisPhase(Function function)
    {
        return [self = shared_from_this(), number = m_phaseNumber,
                function = std::move(function)](const error_code &code, auto &&...) {
            if (self->m_phaseNumber == number) {
                function(code);
            }
        };
    }

    void waitForRequest();
    /** @returns whether bytes have arrived that were not read, such as the next request. */
    bool hasUnreadBytes();
    void readHead();
    void onHead(const error_code &code);
    void readBody();
    void readBodyPart();
    void onBodyPart(const error_code &code);
    /** Counts what the session holds now. @param expected bytes that are going to be read in addition */
    std::size_t heldBytes(std::size_t expected) const;
    void countMemory();
    /** @returns whether the expected bytes may be read; if not, the request was refused. */
    bool drawMemory(std::size_t expected);
    /** @param reading whether a read of the request is pending */
    void refuseForMemory(bool reading);
    /** Ends reading of a request that is refused, and frees what was read of it. */
    void stopReading(bool reading);
    void freeRequest();
    void rejectMalformed(const error_code &code);
    int statusOf(const error_code &code) const;
    /** @returns why the end of the body is not known, or null. */
    const char *bodyFault() const;
    /** @returns whether the request will be refused and its body is too long to be read for that. */
    bool refusedWithoutBody();
    /** @returns the request whose head the parser holds, with the given body. */
    gateway_request makeRequest(std::string body) const;
    void dispatch();
    void watchForClose();
    void onReadable();
    void startTimer(std::chrono::milliseconds timeout);
    void onTimeout();

    void rejectUnserved(int status, bool reading);
    void writeWhole(const response_head &head, std::string_view body);
    void writeStreamHead(const response_head &head);
    void writeStreamPart(std::string_view bytes);
    void writeStreamEnd();
    void endResponse();
    void write(std::string bytes);
    void flush();
    void onWritten(const error_code &code);
    std::size_t unsentBytes() const;
    void discardRest();
    void onDiscardable();
    void closeAfterDisconnect();
    /** @returns the head with the given framing field, and with "Connection: close" if the connection ends after it. */
    response_head framedResponseHead(const response_head &head, const std::string &field, const std::string &value);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    request_handler &m_handler;
    const session_options &m_options;
    session_owner &m_owner;
    phase m_phase = phase::idle;
    std::uint64_t m_phaseNumber = 0;
    time_point m_phaseSince {};
    memory_share m_memory;
    std::size_t m_requestBytes = 0; ///< Of the current request, header and body.
    std::size_t m_headBytes = 0; ///< Of its header.
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::shared_ptr<running_exchange> m_exchange; ///< Null unless a request is being served.
    std::string m_unsent; ///< Bytes that are queued until the current write completes.
    std::string m_writing;
    time_point m_writtenAt {}; ///< When the socket last took bytes of a response.
    bool m_stalled = false; ///< The caller leaves much of a stream unread.
    time_point m_requestStartedAt {};
    std::size_t m_discardedBytes = 0;
    bool m_writeActive = false;
    bool m_keepAlive = true;
    bool m_unreadRequest = false; ///< The response is sent before the whole request was read.
    bool m_servedRequest = false; ///< A connection that has not carried a request yet is not closed while draining.
};

} // namespace bronzechute
