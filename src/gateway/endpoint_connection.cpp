#include "gateway/endpoint_connection.h"

#include "base/socket_address.h"
#include "gateway/end_to_end_fields.h"
#include "http/hop_by_hop.h"
#include "http/message_rules.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <charconv>
#include <limits>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bronzechute {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint32_t responseHeadLimitBytes = 64 * 1024;
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();
// A handshake takes one round trip; a lost packet is retransmitted after about 200 ms.
constexpr std::chrono::milliseconds connectTimeout {300};
// Used if the endpoint sends no Keep-Alive timeout.
constexpr std::chrono::milliseconds defaultIdleTimeout {4000};
// Subtracted from the announced timeout, so that no request races with the endpoint closing the connection.
constexpr std::chrono::milliseconds idleMargin {500};
// A peer that acknowledges nothing for this long is considered dead or unreachable.
constexpr int unacknowledgedTimeoutMs = 1000;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int maxInterimResponses = 16;

tcp::endpoint peerAt(const std::string &text)
{
    // The address was validated when the endpoint was listed.
    const socket_address address = parseSocketAddress(text).value_or(socket_address {});
    boost::system::error_code invalid;
    return {asio::ip::make_address_v4(address.host, invalid), address.port};
}

/** @returns the timeout of the Keep-Alive field less the margin, or the default. */
std::chrono::milliseconds idleTimeoutOf(const http::fields &fields)
{
    const auto value = fields["Keep-Alive"];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos) {
        return defaultIdleTimeout;
    }
    int seconds = 0;
    std::from_chars(text.data() + at + key.size(), text.data() + text.size(), seconds);
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::milliseconds(std::chrono::seconds(seconds)) - idleMargin);
}

} // namespace

endpoint_connection::endpoint_connection(asio::io_context &loop, const std::string &address)
    : m_socket(loop), m_connectTimer(loop), m_peer(peerAt(address))
{
}

void endpoint_connection::start(std::string head, std::shared_ptr<const std::string> body,
                                std::shared_ptr<response_observer> observer)
{
    m_head = std::move(head);
    m_body = std::move(body);
    m_observer = std::move(observer);
    m_sent = false;
    m_paused = false;
    m_reusable = false;
    ++m_exchanges;
    if (m_connected) {
        send();
    } else {
        connect();
    }
}

void endpoint_connection::connect()
{
    const auto self = shared_from_this();
    m_connectTimer.expires_after(connectTimeout);
    m_connectTimer.async_wait([self](const error_code &code) {
        if (!code && !self->m_connected) {
            self->fail("connect", asio::error::timed_out);
        }
    });
    m_socket.async_connect(m_peer, [self](const error_code &code) {
        if (self->m_observer == nullptr) {
            return;
        }
        self->m_connectTimer.cancel();
        if (code) {
            self->fail("connect", code);
            return;
        }
        if (!self->m_observer->maySend()) {
            self->fail("connect", asio::error::operation_aborted);
            return;
        }
        self->m_connected = true;
        self->configureSocket();
        self->send();
    });
}

void endpoint_connection::configureSocket()
{
    error_code ignored; // The options only reduce latency and speed up the detection of dead peers.
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto set = [this](int option, int value) {
        ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
    };
    set(TCP_USER_TIMEOUT, unacknowledgedTimeoutMs);
    set(TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(TCP_KEEPCNT, keepAliveProbes);
}

void endpoint_connection::send()
{
    const auto self = shared_from_this();
    m_sent = true;
    m_writing = true;
    m_writeError = {};
    m_endAwaitsWrite = false;
    m_interimResponses = 0;
    const std::array<asio::const_buffer, 2> buffers {asio::buffer(m_head), asio::buffer(*m_body)};
    asio::async_write(m_socket, buffers, [self, body = m_body](const error_code &code, std::size_t) {
        // An endpoint may respond before it has read the whole request, so a response with a length may still be whole.
        self->m_writing = false;
        self->m_writeError = code;
        if (self->m_endAwaitsWrite && self->m_observer != nullptr) {
            self->finish();
        }
    });
    readHead();
}

void endpoint_connection::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(responseHeadLimitBytes);
    m_parser->body_limit(unlimitedBody);
    const auto self = shared_from_this();
    http::async_read_header(m_socket, m_buffer, *m_parser, [self](const error_code &code, std::size_t) {
        if (self->m_observer == nullptr) {
            return;
        }
        if (code) {
            self->fail("read", code);
            return;
        }
        self->deliverHead();
    });
}

void endpoint_connection::deliverHead()
{
    const http::response_header<> &message = m_parser->get().base();
    const status_class kind = statusClassOf(static_cast<int>(message.result_int()));
    if (kind == status_class::invalid) {
        fail("read", "status " + std::to_string(message.result_int()) + " is not one of a response");
        return;
    }
    if (kind == status_class::interim && ++m_interimResponses > maxInterimResponses) {
        fail("read", "too many interim responses");
        return;
    }
    if (kind == status_class::interim) {
        readHead();
        return;
    }
    const header_list fields = allFields(message);
    if (const char *fault = framingFaultOf(fields)) {
        fail("read", std::string(fault));
        return;
    }
    m_idleTimeout = idleTimeoutOf(message);
    response_head head;
    head.status = static_cast<int>(message.result_int());
    head.reason = std::string(message.reason().data(), message.reason().size());
    head.headers = withoutHopByHopHeaders(fields);
    head.endsWithConnection = m_parser->need_eof();
    const auto self = shared_from_this();
    const auto observer = m_observer;
    observer->onHead(std::move(head));
    if (m_observer != nullptr) { // Another one may have taken the place of the first.
        readBody();
    }
}

void endpoint_connection::readBody()
{
    if (m_parser->is_done()) {
        endResponse();
        return;
    }
    auto &body = m_parser->get().body();
    body.data = m_bytes.data();
    body.size = m_bytes.size();
    const auto self = shared_from_this();
    http::async_read_some(m_socket, m_buffer, *m_parser, [self](error_code code, std::size_t) {
        const auto observer = self->m_observer;
        if (observer == nullptr) {
            return;
        }
        if (code == http::error::need_buffer) {
            code = {};
        }
        const std::size_t received = self->m_bytes.size() - self->m_parser->get().body().size;
        if (received > 0) {
            observer->onBody({self->m_bytes.data(), received});
        }
        if (self->m_observer != observer) {
            return;
        }
        if (code) {
            self->fail("read", code);
        } else if (self->m_parser->is_done()) {
            self->endResponse();
        } else if (observer->wantsMore()) {
            self->readBody();
        } else {
            self->m_paused = true;
        }
    });
}

void endpoint_connection::resume()
{
    if (m_paused && m_observer != nullptr) {
        m_paused = false;
        readBody();
    }
}

void endpoint_connection::endResponse()
{
    // The end of the connection ends a response without a length. A reset is reported once only, to the read or to the
    // write, so that the response is known to be whole after both have ended without an error.
    m_endAwaitsWrite = m_parser->need_eof() && m_writing;
    if (!m_endAwaitsWrite) {
        finish();
    }
}

void endpoint_connection::finish()
{
    if (m_parser->need_eof() && m_writeError) {
        fail("write", m_writeError);
        return;
    }
    const auto self = shared_from_this();
    const auto observer = std::move(m_observer);
    m_observer = nullptr;
    m_reusable = m_parser->keep_alive() && !m_parser->need_eof() && m_buffer.size() == 0 && !m_writing;
    m_idleSince = boot_clock::now();
    m_body = nullptr;
    if (!m_reusable) {
        close();
    }
    observer->onComplete();
}

void endpoint_connection::fail(const char *step, const error_code &code)
{
    fail(step, code.message(), code == asio::error::connection_refused);
}

void endpoint_connection::fail(const char *step, const std::string &cause, bool refused)
{
    const auto self = shared_from_this();
    const auto observer = std::move(m_observer);
    m_observer = nullptr;
    close();
    if (observer != nullptr) {
        observer->onFailure({m_sent, refused, step, cause});
    }
}

void endpoint_connection::setObserver(std::shared_ptr<response_observer> observer)
{
    m_observer = std::move(observer);
}

void endpoint_connection::cancel()
{
    m_observer = nullptr;
    close();
}

void endpoint_connection::close()
{
    m_reusable = false;
    m_connected = false;
    m_connectTimer.cancel();
    error_code ignored; // Closing is best effort.
    m_socket.close(ignored);
}

bool endpoint_connection::reusable(time_point now)
{
    if (!m_reusable || !m_connected || now - m_idleSince > m_idleTimeout) {
        return false;
    }
    // Unsolicited bytes or an end of file (the endpoint closed the connection) rule out reuse.
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

} // namespace bronzechute
