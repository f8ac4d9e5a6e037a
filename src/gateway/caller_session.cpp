#include "gateway/caller_session.h"

#include "gateway/end_to_end_fields.h"
#include "gateway/message_head.h"
#include "http/http_status.h"
#include "observe/log.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

namespace bronzechute {

namespace asio = boost::asio;
namespace http = boost::beast::http;

caller_session::caller_session(asio::ip::tcp::socket socket, request_handler &handler, const session_options &options)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_handler(handler), m_options(options)
{
}

void caller_session::start()
{
    error_code ignored; // Without TCP_NODELAY, responses are only slower.
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    waitForRequest();
}

void caller_session::waitForRequest()
{
    m_readingRequest = false;
    if (m_buffer.size() > 0) {
        readHead();
        return;
    }
    if (m_options.closing() && m_servedRequest) {
        close();
        return;
    }
    startTimer(m_options.limits().idleTimeout, true);
    const auto self = shared_from_this();
    m_socket.async_wait(asio::socket_base::wait_read, [self](const error_code &code) {
        if (!code && self->m_socket.is_open()) {
            self->readHead();
        }
    });
}

void caller_session::readHead()
{
    const caller_limits limits = m_options.limits();
    m_readingRequest = true;
    m_requestStartedAt = boot_clock::now();
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser->body_limit(limits.bodyBytes);
    startTimer(limits.headerTimeout, false);
    const auto self = shared_from_this();
    http::async_read_header(m_socket, m_buffer, *m_parser,
                            [self](const error_code &code, std::size_t) { self->onHead(code); });
}

void caller_session::onHead(const error_code &code)
{
    if (!m_socket.is_open()) {
        return;
    }
    if (code) {
        rejectMalformed(code);
        return;
    }
    const auto &message = m_parser->get();
    if (message.count(http::field::transfer_encoding) > 0 && message.count(http::field::content_length) > 0) {
        rejectMalformed(http::error::bad_transfer_encoding);
        return;
    }
    if (const auto length = m_parser->content_length(); length && *length > m_options.limits().bodyBytes) {
        rejectMalformed(http::error::body_limit);
        return;
    }
    if (boost::beast::iequals(message[http::field::expect], "100-continue") && !m_parser->is_done()) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    readBody();
}

void caller_session::readBody()
{
    if (m_parser->is_done()) {
        dispatch();
        return;
    }
    startTimer(m_options.limits().idleTimeout, false);
    const auto self = shared_from_this();
    http::async_read(m_socket, m_buffer, *m_parser, [self](const error_code &code, std::size_t) {
        if (!self->m_socket.is_open()) {
            return;
        }
        if (code) {
            self->rejectMalformed(code);
        } else {
            self->dispatch();
        }
    });
}

void caller_session::rejectMalformed(const error_code &code)
{
    int status = statusBadRequest;
    if (code == http::error::header_limit || code == http::error::buffer_overflow) {
        status = statusHeaderFieldsTooLarge;
    } else if (code == http::error::body_limit) {
        status = statusContentTooLarge;
    } else if (code == http::error::end_of_stream || code == http::error::partial_message
               || code.category() != http::make_error_code(http::error::end_of_stream).category()) {
        close(); // The caller disconnected, so no response can be delivered.
        return;
    }
    logLine(log_level::warn, "gateway", "malformed request rejected", {{"status", status}, {"cause", code.message()}});
    m_timer.cancel();
    m_keepAlive = false;
    m_responding = true;
    respond({status, reasonOf(status), {}}, {});
}

void caller_session::dispatch()
{
    m_timer.cancel();
    m_readingRequest = false;
    auto message = m_parser->release();
    m_keepAlive = message.keep_alive();
    gateway_request request;
    request.method = std::string(message.method_string().data(), message.method_string().size());
    request.target = std::string(message.target().data(), message.target().size());
    request.headers = endToEndFields(message.base());
    request.body = std::make_shared<const std::string>(std::move(message.body()));
    request.arrivedAt = m_requestStartedAt;
    request.keepAlive = m_keepAlive;
    m_responding = true;
    m_servedRequest = true;
    m_ended = false;
    auto exchange = m_handler.handle(std::move(request), *this);
    if (m_responding && !m_ended) {
        m_exchange = std::move(exchange);
        watchForClose();
    }
}

void caller_session::watchForClose()
{
    if (m_buffer.size() > 0) {
        return; // The next request is already buffered; a disconnect is detected when the response is written.
    }
    const auto self = shared_from_this();
    m_socket.async_wait(asio::socket_base::wait_read, [self](const error_code &code) {
        if (!code && self->m_socket.is_open() && self->m_responding) {
            self->onReadable();
        }
    });
}

void caller_session::onReadable()
{
    char byte = 0;
    const auto received = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        return; // Data of the next request, which is read after this response.
    }
    if (received < 0 && (errno == EAGAIN || errno == EINTR)) {
        watchForClose();
        return;
    }
    closeAfterDisconnect();
}

void caller_session::closeAfterDisconnect()
{
    const auto exchange = std::move(m_exchange);
    m_exchange = nullptr;
    close();
    if (exchange != nullptr) {
        exchange->onCallerDisconnected();
    }
}

response_head caller_session::framedResponseHead(const response_head &head, const std::string &field,
                                                 const std::string &value)
{
    response_head framed = head;
    framed.headers.emplace_back(field, value);
    m_keepAlive = m_keepAlive && !m_options.closing();
    if (!m_keepAlive) {
        framed.headers.emplace_back("Connection", "close");
    }
    return framed;
}

void caller_session::respond(const response_head &head, std::string_view body)
{
    write(formatResponseHead(framedResponseHead(head, "Content-Length", std::to_string(body.size()))).append(body));
    endResponse();
}

void caller_session::begin(const response_head &head)
{
    write(formatResponseHead(framedResponseHead(head, "Transfer-Encoding", "chunked")));
}

void caller_session::send(std::string_view bytes)
{
    if (!bytes.empty()) {
        write(formatChunk(bytes));
    }
}

void caller_session::finish()
{
    write(lastChunk);
    endResponse();
}

void caller_session::abort()
{
    m_exchange = nullptr;
    m_responding = false;
    close();
}

std::size_t caller_session::unsentBytes() const
{
    return m_unsent.size() + m_writing.size();
}

void caller_session::write(std::string_view bytes)
{
    if (!m_socket.is_open()) {
        return;
    }
    m_unsent.append(bytes);
    if (!m_writeActive) {
        flush();
    }
}

void caller_session::flush()
{
    m_writeActive = true;
    m_writing.swap(m_unsent);
    m_unsent.clear();
    const auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self](const error_code &code, std::size_t) { self->onWritten(code); });
}

void caller_session::onWritten(const error_code &code)
{
    m_writeActive = false;
    m_writing.clear();
    if (code || !m_socket.is_open()) {
        closeAfterDisconnect();
        return;
    }
    if (!m_unsent.empty()) {
        flush();
        return;
    }
    if (m_exchange != nullptr) {
        m_exchange->onCallerWritable();
        return;
    }
    if (m_ended) {
        m_ended = false;
        m_responding = false;
        if (m_keepAlive) {
            waitForRequest();
        } else {
            close();
        }
    }
}

void caller_session::endResponse()
{
    m_exchange = nullptr;
    m_ended = true;
}

void caller_session::closeIfIdle()
{
    if (!busy() && m_servedRequest) {
        close();
    }
}

void caller_session::close()
{
    m_responding = false;
    m_readingRequest = false;
    m_timer.cancel();
    error_code ignored; // Closing is best effort.
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void caller_session::startTimer(std::chrono::milliseconds timeout, bool idle)
{
    const auto self = shared_from_this();
    m_timer.expires_after(timeout);
    m_timer.async_wait([self, idle](const error_code &code) {
        if (code || !self->m_socket.is_open() || self->m_responding) {
            return;
        }
        if (idle) {
            if (!self->busy()) {
                self->close();
            }
            return;
        }
        self->m_keepAlive = false;
        self->m_responding = true;
        self->respond({statusRequestTimeout, reasonOf(statusRequestTimeout), {}}, {});
    });
}

} // namespace bronzechute
