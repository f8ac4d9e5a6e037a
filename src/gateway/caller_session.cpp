#include "gateway/caller_session.h"

#include "gateway/end_to_end_fields.h"
#include "gateway/memory_budget.h"
#include "gateway/message_head.h"
#include "gateway/session_response.h"
#include "http/http_status.h"
#include "http/message_rules.h"
#include "observe/log.h"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace bronzechute {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Beyond the header: for the framing of a chunked body, and for requests that a caller sends ahead.
constexpr std::size_t framingBytes = std::size_t {16} * 1024;
// A body up to this size is read even if the request will be refused, so that the connection can be kept.
constexpr std::size_t refusedBodyBytes = std::size_t {64} * 1024;
// A connection that is closed while bytes are unread is reset, and the caller may lose the response.
constexpr std::chrono::milliseconds discardTimeout {500};
constexpr std::size_t discardLimitBytes = std::size_t {1024} * 1024;
constexpr std::size_t discardBlockBytes = std::size_t {16} * 1024;
// A session with its timer, socket and buffers of the system.
constexpr std::size_t connectionBytes = std::size_t {16} * 1024;
// A field is held by the parser, in the request and in the header for the endpoint, in several allocations each.
constexpr std::size_t bytesPerField = 400;
constexpr std::size_t fieldCopies = 3;
// An exchange with its connection to an endpoint.
constexpr std::size_t exchangeBytes = std::size_t {32} * 1024;
// Buffers up to this size are kept for the next request or answer.
constexpr std::size_t keptBufferBytes = std::size_t {4} * 1024;
// A stream of which its caller leaves so much unread may be broken off when memory is short.
constexpr std::size_t stalledBytes = std::size_t {64} * 1024;
constexpr unsigned versionWithCodings = 11; // HTTP/1.1
constexpr const char *memoryRetryAfterSeconds = "0.5";

/** @returns the bytes that the fields take, over all their copies. */
std::size_t bytesOf(const http::fields &fields)
{
    std::size_t bytes = 0;
    for (const auto &field : fields) {
        bytes += bytesPerField + fieldCopies * (field.name_string().size() + field.value().size());
    }
    return bytes;
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, request_handler &handler, const session_options &options,
                               session_owner &owner, memory_budget &budget)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_handler(handler)
    , m_options(options)
    , m_owner(owner)
    , m_memory(budget, this)
{
}

void caller_session::start()
{
    error_code ignored; // Without TCP_NODELAY, responses are only slower.
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    waitForRequest();
}

void caller_session::enter(phase next)
{
    m_phase = next;
    ++m_phaseNumber;
    m_phaseSince = boot_clock::now();
    m_timer.cancel();
    const bool isIdle = next == phase::idle;
    m_memory.setUse(isIdle ? memory_use::idle
                           : (next == phase::serving || next == phase::closed ? memory_use::kept : memory_use::busy),
                    m_phaseSince);
}

std::size_t caller_session::heldBytes(std::size_t expected) const
{
    return connectionBytes + m_buffer.capacity() + m_requestBytes + m_unsent.capacity() + m_writing.capacity()
        + expected;
}

void caller_session::countMemory()
{
    const std::size_t held = m_phase == phase::closed ? 0 : heldBytes(m_phase == phase::serving ? exchangeBytes : 0);
    if (m_memory.isOutdated(held)) {
        m_memory.resize(held, boot_clock::now());
    }
}

bool caller_session::drawMemory(std::size_t expected)
{
    if (m_memory.tryResize(heldBytes(expected), boot_clock::now())) {
        return true;
    }
    refuseForMemory(false);
    return false;
}

void caller_session::refuseForMemory(bool reading)
{
    stopReading(reading);
    m_unreadRequest = true;
    m_keepAlive = false;
    writeWhole(
        {statusServiceUnavailable, reasonOf(statusServiceUnavailable), {{"Retry-After", memoryRetryAfterSeconds}}}, {});
}

void caller_session::stopReading(bool reading)
{
    if (!reading) {
        m_parser.reset();
        m_requestBytes = 0;
        return;
    }
    error_code ignored; // A read that cannot be cancelled ends with the connection.
    m_socket.cancel(ignored);
    freeRequest();
}

void caller_session::freeRequest()
{
    m_requestBytes = 0;
    if (m_parser) {
        // A read that is cancelled may still refer to the parser, so that only what it holds can be freed.
        std::string().swap(m_parser->get().body());
        m_parser->get().base().clear();
    }
}

void caller_session::giveBackMemory()
{
    switch (m_phase) {
    case phase::reading_head:
    case phase::reading_body:
        refuseForMemory(true);
        break;
    case phase::serving: {
        // Its caller does not read the answer. The exchange calls into other objects when it ends.
        m_memory.setUse(memory_use::kept, m_phaseSince);
        m_memory.resize(0, boot_clock::now());
        asio::post(m_socket.get_executor(), [self = shared_from_this(), number = m_phaseNumber] {
            if (self->m_phaseNumber == number) {
                self->closeAfterDisconnect();
            }
        });
        break;
    }
    case phase::idle:
    case phase::finishing:
    case phase::discarding:
        close();
        break;
    case phase::closed:
        break;
    }
}

void caller_session::waitForRequest()
{
    if (m_buffer.size() > 0) {
        readHead();
        return;
    }
    if (m_options.closing() && m_servedRequest && !hasUnreadBytes()) {
        close();
        return;
    }
    enter(phase::idle);
    if (m_buffer.capacity() > keptBufferBytes) {
        m_buffer.shrink_to_fit();
    }
    countMemory();
    if (m_phase == phase::closed) {
        return; // Closed to make room for its own connection.
    }
    startTimer(m_options.limits().idleTimeout);
    m_socket.async_wait(asio::socket_base::wait_read, inThisPhase([this](const error_code &code) {
                            if (!code) {
                                readHead();
                            }
                        }));
}

void caller_session::readHead()
{
    const caller_limits limits = m_options.limits();
    enter(phase::reading_head);
    m_requestStartedAt = boot_clock::now();
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser->body_limit(limits.bodyBytes);
    // Whatever the parser cannot use yet stays in the buffer, such as an incomplete header, chunk size or trailer.
    m_buffer.max_size(std::max(m_buffer.size(), limits.headerBytes + framingBytes));
    m_headBytes = 0;
    m_requestBytes = 0;
    if (!drawMemory(m_buffer.max_size() - std::min(m_buffer.max_size(), m_buffer.capacity()))) {
        return;
    }
    startTimer(limits.headerTimeout);
    http::async_read_header(m_socket, m_buffer, *m_parser,
                            inThisPhase([this](const error_code &code) { onHead(code); }));
}

void caller_session::onHead(const error_code &code)
{
    if (code) {
        rejectMalformed(code);
        return;
    }
    const auto &message = m_parser->get();
    m_headBytes = bytesOf(message.base());
    m_requestBytes = m_headBytes;
    if (const char *fault = bodyFault()) {
        logLine(log_level::warn, "gateway", "malformed request rejected",
                {{"status", statusBadRequest}, {"cause", fault}});
        rejectUnserved(statusBadRequest, false);
        return;
    }
    if (const auto length = m_parser->content_length(); length && *length > m_options.limits().bodyBytes) {
        rejectMalformed(http::error::body_limit);
        return;
    }
    if (!drawMemory(exchangeBytes)) {
        return;
    }
    if (refusedWithoutBody()) {
        m_unreadRequest = true;
        dispatch();
        return;
    }
    readBody();
}

const char *caller_session::bodyFault() const
{
    const auto &message = m_parser->get();
    const bool isCoded = message.count(http::field::transfer_encoding) > 0;
    if (isCoded && message.version() < versionWithCodings) {
        return "transfer coding in a version of HTTP that has none";
    }
    const bool mayBeFaulty = isCoded || message.count(http::field::content_length) > 1;
    return mayBeFaulty ? framingFaultOf(allFields(message)) : nullptr;
}

bool caller_session::refusedWithoutBody()
{
    const auto length = m_parser->content_length();
    const bool isShort = m_parser->is_done() || (length && *length <= refusedBodyBytes);
    if (isShort || !m_handler.refuses(makeRequest({}))) {
        return false;
    }
    m_parser->body_limit(refusedBodyBytes);
    return length.has_value();
}

void caller_session::readBody()
{
    if (m_parser->is_done()) {
        dispatch();
        return;
    }
    enter(phase::reading_body);
    // The whole length is drawn at once, so that a body which is begun can also be completed.
    if (const auto length = m_parser->content_length(); length && !drawMemory(exchangeBytes + *length)) {
        return;
    }
    if (boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    startTimer(m_options.limits().idleTimeout);
    m_parser->eager(true);
    readBodyPart();
}

void caller_session::readBodyPart()
{
    http::async_read_some(m_socket, m_buffer, *m_parser,
                          inThisPhase([this](const error_code &code) { onBodyPart(code); }));
}

void caller_session::onBodyPart(const error_code &code)
{
    if (code) {
        rejectMalformed(code);
        return;
    }
    const auto length = m_parser->content_length();
    m_requestBytes = m_headBytes + m_parser->get().body().capacity();
    if (!length && !drawMemory(exchangeBytes)) {
        return;
    }
    if (m_parser->is_done()) {
        dispatch();
    } else {
        readBodyPart();
    }
}

int caller_session::statusOf(const error_code &code) const
{
    if (code == http::error::body_limit) {
        return statusContentTooLarge;
    }
    const bool tooLong = code == http::error::header_limit || code == http::error::buffer_overflow;
    return tooLong && m_phase == phase::reading_head ? statusHeaderFieldsTooLarge : statusBadRequest;
}

void caller_session::rejectMalformed(const error_code &code)
{
    if (code == http::error::end_of_stream || code == http::error::partial_message
        || code.category() != http::make_error_code(http::error::end_of_stream).category()) {
        close(); // The caller disconnected, so no response can be delivered.
        return;
    }
    const int status = statusOf(code);
    logLine(log_level::warn, "gateway", "malformed request rejected", {{"status", status}, {"cause", code.message()}});
    rejectUnserved(status, false);
}

void caller_session::rejectUnserved(int status, bool reading)
{
    stopReading(reading);
    m_unreadRequest = true;
    m_keepAlive = false;
    writeWhole({status, reasonOf(status), {}}, {});
}

gateway_request caller_session::makeRequest(std::string body) const
{
    const auto &message = m_parser->get();
    gateway_request request;
    request.method = std::string(message.method_string().data(), message.method_string().size());
    request.target = std::string(message.target().data(), message.target().size());
    request.headers = endToEndFields(message.base());
    request.body = std::make_shared<const std::string>(std::move(body));
    request.arrivedAt = m_requestStartedAt;
    request.keepAlive = message.keep_alive();
    return request;
}

void caller_session::dispatch()
{
    enter(phase::serving);
    gateway_request request = makeRequest(std::move(m_parser->get().body()));
    m_parser.reset();
    m_stalled = false;
    countMemory();
    m_keepAlive = request.keepAlive && !m_unreadRequest;
    m_servedRequest = true;
    const std::uint64_t number = m_phaseNumber;
    auto exchange =
        m_handler.handle(std::move(request), std::make_shared<session_response>(shared_from_this(), number));
    if (isServing(number)) {
        m_exchange = std::move(exchange);
        watchForClose();
    }
}

void caller_session::watchForClose()
{
    if (m_buffer.size() >= m_buffer.max_size()) {
        return; // So much is sent ahead that a disconnect is detected only when the response is written.
    }
    m_socket.async_wait(asio::socket_base::wait_read, inThisPhase([this](const error_code &code) {
                            if (!code) {
                                onReadable();
                            }
                        }));
}

void caller_session::onReadable()
{
    // The start of the next request, or the end of the connection.
    const auto space = m_buffer.prepare(m_buffer.max_size() - m_buffer.size());
    const auto received = ::recv(m_socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR)) {
        closeAfterDisconnect();
        return;
    }
    m_buffer.commit(static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
    watchForClose();
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

void caller_session::writeWhole(const response_head &head, std::string_view body)
{
    std::string text = formatResponseHead(framedResponseHead(head, "Content-Length", std::to_string(body.size())));
    endResponse();
    text.reserve(text.size() + body.size());
    text.append(body);
    write(std::move(text));
}

void caller_session::writeStreamHead(const response_head &head)
{
    write(formatResponseHead(framedResponseHead(head, "Transfer-Encoding", "chunked")));
}

void caller_session::writeStreamPart(std::string_view bytes)
{
    if (!bytes.empty()) {
        write(formatChunk(bytes));
    }
}

void caller_session::writeStreamEnd()
{
    endResponse();
    write(std::string(lastChunk));
}

void caller_session::endResponse()
{
    m_exchange = nullptr;
    m_requestBytes = 0;
    enter(phase::finishing);
    startTimer(m_options.limits().idleTimeout); // Nothing else ends a connection whose caller does not read.
}

std::size_t caller_session::unsentBytes() const
{
    return m_unsent.size() + m_writing.size();
}

void caller_session::write(std::string bytes)
{
    if (m_unsent.empty()) {
        m_unsent = std::move(bytes);
    } else {
        m_unsent.append(bytes);
    }
    if (!m_writeActive) {
        flush();
    }
    if (m_phase == phase::serving && !m_stalled && unsentBytes() > stalledBytes) {
        m_stalled = true;
        m_memory.setUse(memory_use::busy, boot_clock::now());
    }
    if (m_phase != phase::reading_body) { // A body that is read has drawn its whole length.
        countMemory();
    }
}

void caller_session::flush()
{
    m_writeActive = true;
    m_writing.swap(m_unsent);
    m_unsent.clear();
    const auto recordProgress = [self = shared_from_this()](const error_code &code, std::size_t written) {
        self->m_writtenAt = boot_clock::now();
        return asio::transfer_all()(code, written);
    };
    asio::async_write(m_socket, asio::buffer(m_writing), recordProgress,
                      [self = shared_from_this()](const error_code &code, std::size_t) { self->onWritten(code); });
}

void caller_session::onWritten(const error_code &code)
{
    m_writeActive = false;
    m_writing.clear();
    if (m_writing.capacity() > keptBufferBytes) {
        std::string().swap(m_writing);
    }
    if (m_phase == phase::closed) {
        return;
    }
    if (m_phase == phase::serving) {
        m_stalled = false;
        m_memory.setUse(memory_use::kept, m_phaseSince);
        countMemory();
    }
    if (code) {
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
    if (m_phase != phase::finishing) {
        return;
    }
    if (m_keepAlive) {
        waitForRequest();
    } else if (m_unreadRequest || m_buffer.size() > 0 || hasUnreadBytes()) {
        discardRest();
    } else {
        close();
    }
}

void caller_session::discardRest()
{
    enter(phase::discarding);
    countMemory();
    m_discardedBytes = 0;
    error_code ignored; // Closing is best effort.
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    startTimer(discardTimeout);
    onDiscardable();
}

void caller_session::onDiscardable()
{
    std::array<char, discardBlockBytes> bytes;
    const auto received = ::recv(m_socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    m_discardedBytes += static_cast<std::size_t>(std::max<ssize_t>(received, 0));
    const bool hasEnded = received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
    if (hasEnded || m_discardedBytes > discardLimitBytes) {
        close();
        return;
    }
    m_socket.async_wait(asio::socket_base::wait_read, inThisPhase([this](const error_code &code) {
                            if (!code) {
                                onDiscardable();
                            }
                        }));
}

bool caller_session::hasUnreadBytes()
{
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void caller_session::closeIfIdle(bool alsoUnused)
{
    if (m_phase == phase::idle && (alsoUnused || m_servedRequest) && !hasUnreadBytes()) {
        close();
    }
}

void caller_session::endRequest()
{
    if (const auto exchange = m_exchange) {
        exchange->onShutdown();
    }
}

void caller_session::close()
{
    if (m_phase == phase::closed) {
        return;
    }
    enter(phase::closed);
    m_exchange = nullptr;
    // At once, as the session itself lives until the handlers that are due now have run, which may be many.
    freeRequest();
    std::string().swap(m_unsent);
    countMemory();
    error_code ignored; // Closing is best effort.
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    m_owner.onSessionClosed(shared_from_this());
}

void caller_session::startTimer(std::chrono::milliseconds timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait(inThisPhase([this](const error_code &code) {
        if (!code) {
            onTimeout();
        }
    }));
}

void caller_session::onTimeout()
{
    const std::chrono::milliseconds idleTimeout = m_options.limits().idleTimeout;
    if (m_phase == phase::idle && hasUnreadBytes()) {
        return; // A request arrived before the timer was served; the wait for it ends now.
    }
    if (m_phase == phase::finishing && boot_clock::now() - m_writtenAt < idleTimeout) {
        startTimer(idleTimeout); // The caller reads slowly.
    } else if (m_phase == phase::idle || m_phase == phase::discarding || m_phase == phase::finishing) {
        close();
    } else {
        rejectUnserved(statusRequestTimeout, true);
    }
}

} // namespace bronzechute
