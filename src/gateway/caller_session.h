#pragma once

#include "gateway/caller_response.h"
#include "gateway/request_handler.h"
#include "gateway/session_options.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/** Server side of a caller's HTTP/1.1 connection. Handles one request at a time; pipelined requests wait. */
class caller_session : public caller_response, public std::enable_shared_from_this<caller_session>
{
public:
    /** The handler and the options must outlive all work of the event loop. */
    caller_session(boost::asio::ip::tcp::socket socket, request_handler &handler, const session_options &options);

    void start();

    /** Closes a keep-alive connection on which no request is in progress. One without a first request is kept. */
    void closeIfIdle();

    /** @returns whether a request is being received or its response is being sent. */
    bool busy() const
    {
        return m_exchange != nullptr || m_responding || m_readingRequest;
    }

    bool closed() const
    {
        return !m_socket.is_open();
    }

    void respond(const response_head &head, std::string_view body) override;
    void begin(const response_head &head) override;
    void send(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t unsentBytes() const override;

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using error_code = boost::system::error_code;

    void waitForRequest();
    void readHead();
    void onHead(const error_code &code);
    void readBody();
    void dispatch();
    void rejectMalformed(const error_code &code);
    void watchForClose();
    void onReadable();
    void write(std::string_view bytes);
    void flush();
    void onWritten(const error_code &code);
    void endResponse();
    void close();
    void startTimer(std::chrono::milliseconds timeout, bool idle);
    void closeAfterDisconnect();
    /** @returns the head with the given framing field, and with "Connection: close" if the connection ends after it. */
    response_head framedResponseHead(const response_head &head, const std::string &field, const std::string &value);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    request_handler &m_handler;
    const session_options &m_options;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::shared_ptr<running_exchange> m_exchange;
    std::string m_unsent; ///< Bytes that are queued until the current write completes.
    std::string m_writing;
    time_point m_requestStartedAt {};
    bool m_writeActive = false;
    bool m_readingRequest = false;
    bool m_responding = false; ///< From dispatch() until the response is written.
    bool m_ended = false; ///< The response is complete, but its last bytes are still being written.
    bool m_keepAlive = true;
    bool m_servedRequest = false; ///< A connection that has not carried a request yet is not closed while draining.
};

} // namespace bronzechute
