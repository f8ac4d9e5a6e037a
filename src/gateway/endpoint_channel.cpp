#include "gateway/endpoint_channel.h"

#include "base/socket_address.h"
#include "gateway/field_list.h"

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

constexpr std::uint32_t headLimitBytes = 64 * 1024;
constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();
// A handshake takes one round trip; a lost packet is sent again after about 200 ms.
constexpr std::chrono::milliseconds connectTimeout {300};
// Used where the endpoint does not say how long it keeps an idle connection.
constexpr std::chrono::milliseconds defaultIdleLimit {4000};
// An endpoint that closes at the stated time must not be reached by a request at that very moment.
constexpr std::chrono::milliseconds idleMargin {500};
// A peer that acknowledges nothing for this long is gone or cut off.
constexpr int unacknowledgedLimitMs = 1000;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int firstFinalStatus = 200;

tcp::endpoint peerAt(const std::string &text)
{
    const socket_address address = parseSocketAddress(text).value_or(socket_address {}); // Checked when it was listed.
    boost::system::error_code invalid;
    return {asio::ip::make_address_v4(address.host, invalid), address.port};
}

/** @returns the time that a Keep-Alive field states, or the default. */
std::chrono::milliseconds idleLimitOf(const http::fields &fields)
{
    const auto value = fields["Keep-Alive"];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos) {
        return defaultIdleLimit;
    }
    int seconds = 0;
    std::from_chars(text.data() + at + key.size(), text.data() + text.size(), seconds);
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::milliseconds(std::chrono::seconds(seconds)) - idleMargin);
}

} // namespace

endpoint_channel::endpoint_channel(asio::io_context &loop, const std::string &address)
    : m_socket(loop), m_connectTimer(loop), m_peer(peerAt(address))
{
}

void endpoint_channel::start(std::string head, std::shared_ptr<const std::string> body,
                             std::shared_ptr<channel_observer> observer)
{
    m_head = std::move(head);
    m_body = std::move(body);
    m_observer = std::move(observer);
    m_sent = false;
    m_paused = false;
    m_kept = false;
    if (m_connected) {
        send();
    } else {
        connect();
    }
}

void endpoint_channel::connect()
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
        self->m_connected = true;
        self->configureSocket();
        self->send();
    });
}

void endpoint_channel::configureSocket()
{
    error_code ignored; // The options only speed up the detection of dead peers.
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto set = [this](int option, int value) {
        ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
    };
    set(TCP_USER_TIMEOUT, unacknowledgedLimitMs);
    set(TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(TCP_KEEPCNT, keepAliveProbes);
}

void endpoint_channel::send()
{
    const auto self = shared_from_this();
    m_sent = true;
    m_writing = true;
    const std::array<asio::const_buffer, 2> buffers {asio::buffer(m_head), asio::buffer(*m_body)};
    asio::async_write(m_socket, buffers, [self, body = m_body](const error_code &, std::size_t) {
        // An endpoint may answer before it has read everything; the read decides how the exchange ends.
        self->m_writing = false;
    });
    readHead();
}

void endpoint_channel::readHead()
{
    m_parser.emplace();
    m_parser->header_limit(headLimitBytes);
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

void endpoint_channel::deliverHead()
{
    const http::response_header<> &message = m_parser->get().base();
    if (static_cast<int>(message.result_int()) < firstFinalStatus) {
        readHead(); // That was an interim answer; the final one follows.
        return;
    }
    m_idleLimit = idleLimitOf(message);
    answer_head head;
    head.status = static_cast<int>(message.result_int());
    head.reason = std::string(message.reason().data(), message.reason().size());
    head.headers = endToEndFields(message);
    const auto self = shared_from_this();
    const auto observer = m_observer;
    observer->onHead(std::move(head));
    if (m_observer == observer) {
        readBody();
    }
}

void endpoint_channel::readBody()
{
    if (m_parser->is_done()) {
        finish();
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
            self->finish();
        } else if (observer->wantsMore()) {
            self->readBody();
        } else {
            self->m_paused = true;
        }
    });
}

void endpoint_channel::resume()
{
    if (m_paused && m_observer != nullptr) {
        m_paused = false;
        readBody();
    }
}

void endpoint_channel::finish()
{
    const auto self = shared_from_this();
    const auto observer = std::move(m_observer);
    m_observer = nullptr;
    m_kept = m_parser->keep_alive() && !m_parser->need_eof() && m_buffer.size() == 0 && !m_writing;
    m_idleSince = boot_clock::now();
    m_body = nullptr;
    if (!m_kept) {
        close();
    }
    observer->onComplete();
}

void endpoint_channel::fail(const char *step, const error_code &code)
{
    const auto self = shared_from_this();
    const auto observer = std::move(m_observer);
    m_observer = nullptr;
    close();
    if (observer != nullptr) {
        observer->onFailure({m_sent, step, code.message()});
    }
}

void endpoint_channel::cancel()
{
    m_observer = nullptr;
    close();
}

void endpoint_channel::close()
{
    m_kept = false;
    m_connected = false;
    m_connectTimer.cancel();
    error_code ignored; // The connection is given up, whatever its state.
    m_socket.close(ignored);
}

bool endpoint_channel::reusable(time_point now)
{
    if (!m_kept || !m_connected || now - m_idleSince > m_idleLimit) {
        return false;
    }
    // Bytes here belong to no request, and an end of file means that the endpoint has closed the connection.
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

} // namespace bronzechute
