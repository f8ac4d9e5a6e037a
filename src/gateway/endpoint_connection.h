#pragma once

#include "base/boot_clock.h"
#include "gateway/response_observer.h"

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
 * A client-side HTTP/1.1 connection to an endpoint, with one exchange at a time. Used from the thread of its event
 * loop.
 *
 * It uses Boost.Beast instead of libcurl, because libcurl resends a request by itself when a reused connection fails,
 * and needs a handle and several wake-ups per exchange.
 */
class endpoint_connection : public std::enable_shared_from_this<endpoint_connection>
{
public:
    /** @param address "IP:PORT" */
    endpoint_connection(boost::asio::io_context &loop, const std::string &address);

    /**
     * Sends a request, connecting first if necessary.
     * @param head header block including the empty line that ends it
     * @param observer held until the exchange ends or is cancelled
     */
    void start(std::string head, std::shared_ptr<const std::string> body, std::shared_ptr<response_observer> observer);

    /** Continues reading after response_observer::wantsMore() returned false. */
    void resume();

    /** Another observer receives the rest of the response. */
    void setObserver(std::shared_ptr<response_observer> observer);

    /** Ends the exchange and closes the connection. The observer is not called any more. */
    void cancel();

    /** @returns whether the connection carried an exchange before the current one. */
    bool reused() const
    {
        return m_exchanges > 1;
    }

    /** @returns whether the connection can carry another exchange. */
    bool reusable(time_point now);

private:
    using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    using error_code = boost::system::error_code;

    static constexpr std::size_t readBytes = std::size_t {16} * 1024;
    // Whatever the parser cannot use yet stays in the buffer, such as an incomplete header, chunk size or trailer.
    static constexpr std::size_t bufferLimitBytes = std::size_t {80} * 1024;

    void connect();
    void send();
    void readHead();
    void readBody();
    void deliverHead();
    void endResponse();
    void finish();
    void fail(const char *step, const error_code &code);
    void fail(const char *step, const std::string &cause, bool refused = false);
    void close();
    void configureSocket();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    boost::asio::ip::tcp::endpoint m_peer;
    std::shared_ptr<response_observer> m_observer; ///< Null between exchanges.
    std::string m_head;
    std::shared_ptr<const std::string> m_body;
    boost::beast::flat_buffer m_buffer {bufferLimitBytes};
    std::optional<response_parser> m_parser;
    std::array<char, readBytes> m_bytes {};
    int m_exchanges = 0; ///< Started on this connection.
    int m_interimResponses = 0; ///< Received before the final response.
    bool m_connected = false;
    bool m_sent = false; ///< Whether any byte of the request may have been sent.
    bool m_writing = false;
    bool m_endAwaitsWrite = false; ///< The response has ended with its connection, while the request was being sent.
    error_code m_writeError; ///< Of the current request.
    bool m_paused = false;
    bool m_reusable = false; ///< Whether the last exchange left the connection usable for another one.
    std::chrono::milliseconds m_idleTimeout {0};
    time_point m_idleSince {};
};

} // namespace bronzechute
