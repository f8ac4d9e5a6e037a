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

/** A caller's HTTP/1.1 connection: reads one request after the other and writes the answers. */
class caller_session : public caller_response, public std::enable_shared_from_this<caller_session>
{
public:
    /** Both have to outlive the event loop's work. */
    caller_session(boost::asio::ip::tcp::socket socket, request_handler &handler, const session_options &options);

    void start();

    /** Closes the connection when it has served a request and no other has begun to arrive. */
    void closeIfIdle();

    /** @returns whether a request has begun to arrive or is being answered. */
    bool busy() const
    {
        return m_exchange != nullptr || m_responding || m_readingRequest;
    }

    bool closed() const
    {
        return !m_socket.is_open();
    }

    void respond(const answer_head &head, std::string_view body) override;
    void begin(const answer_head &head) override;
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
    void startTimer(std::chrono::milliseconds time, bool idle);
    void closeForCaller();
    /** @returns the head with the field that frames its body, and whether the connection ends after it. */
    answer_head framedHead(const answer_head &head, const std::string &field, const std::string &value);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    request_handler &m_handler;
    const session_options &m_options;
    boost::beast::flat_buffer m_buffer;
    std::optional<request_parser> m_parser;
    std::shared_ptr<running_exchange> m_exchange;
    std::string m_unsent; ///< Waits until the write under way has ended.
    std::string m_writing;
    time_point m_requestAt {};
    bool m_writeActive = false;
    bool m_readingRequest = false;
    bool m_responding = false; ///< From dispatch() until the answer has ended.
    bool m_ended = false; ///< The answer has ended; what is unsent is still being written.
    bool m_keepAlive = true;
    bool m_served = false; ///< A connection that carried no request yet is kept until its first one.
};

} // namespace bronzechute
