#pragma once

#include "base/boot_clock.h"
#include "gateway/channel_observer.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/**
 * An HTTP/1.1 connection to an endpoint that carries one exchange at a time. Used from the thread of its event loop.
 *
 * Boost.Beast takes the place of libcurl here: libcurl sends a request again by itself when a kept connection fails,
 * and needs a handle and several wake-ups for each exchange.
 */
class endpoint_channel : public std::enable_shared_from_this<endpoint_channel>
{
public:
    /** @param address "IP:PORT" */
    endpoint_channel(boost::asio::io_context &loop, const std::string &address);

    /**
     * Sends a request, over a new connection where there is none yet.
     * @param head header block with its empty line
     * @param observer is kept until the exchange ends or is cancelled
     */
    void start(std::string head, std::shared_ptr<const std::string> body, std::shared_ptr<channel_observer> observer);

    /** Reads on after wantsMore() was false. */
    void resume();

    /** Ends the exchange and closes the connection; the observer hears nothing more. */
    void cancel();

    /** @returns whether another exchange may begin on the connection. */
    bool reusable(time_point now);

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    using error_code = boost::system::error_code;

    static constexpr std::size_t readBytes = std::size_t {16} * 1024;

    void connect();
    void send();
    void readHead();
    void readBody();
    void deliverHead();
    void finish();
    void fail(const char *step, const error_code &code);
    void close();
    void configureSocket();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::ip::tcp::endpoint m_peer;
    std::shared_ptr<channel_observer> m_observer; ///< Null between exchanges.
    std::string m_head;
    std::shared_ptr<const std::string> m_body;
    boost::beast::flat_buffer m_buffer;
    std::optional<response_parser> m_parser;
    std::array<char, readBytes> m_bytes {};
    bool m_connected = false;
    bool m_sent = false; ///< Whether a byte of the request may have left.
    bool m_writing = false;
    bool m_paused = false;
    bool m_kept = false; ///< Whether the last exchange ended so that the connection may be used again.
    std::chrono::milliseconds m_idleLimit {0};
    time_point m_idleSince {};
};

} // namespace bronzechute
