#pragma once

#include "base/result.h"
#include "http/connection_table.h"
#include "http/http_handler.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

// Types of ulfius.
struct _u_instance; // NOLINT(bugprone-reserved-identifier)
struct _u_request; // NOLINT(bugprone-reserved-identifier)
struct _u_response; // NOLINT(bugprone-reserved-identifier)

namespace bronzechute {

/** Where and how an HTTP server listens. */
struct http_server_options
{
    std::string address = "127.0.0.1"; ///< IPv4 address.
    std::uint16_t port = 0; ///< 0: the kernel chooses.
    std::size_t bodyLimit = std::size_t {4} * 1024 * 1024; ///< Bytes; larger bodies set http_request::bodyTooLarge.
    std::string tlsCertificate; ///< PEM text; empty: no TLS.
    std::string tlsKey; ///< PEM text.
};

/**
 * An HTTP server on ulfius: one thread a connection, one handler for every path.
 */
class http_server
{
public:
    /** Listens at once. @returns errc::unavailable when the address cannot be bound. */
    static result<std::unique_ptr<http_server>> start(const http_server_options &options, http_handler &handler);

    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /** Stops listening; connections that are open stay. */
    void quiesce();

    /** @returns the number of requests whose answer is not finished. */
    int activeRequests() const
    {
        return m_active.load();
    }

private:
    explicit http_server(http_handler &handler);

    static int dispatch(const _u_request *request, _u_response *response, void *self);
    int answer(const _u_request *request, _u_response *response);

    http_handler &m_handler;
    connection_table m_connections;
    std::unique_ptr<_u_instance> m_instance;
    std::size_t m_bodyLimit = 0;
    std::string m_certificate;
    std::string m_key;
    std::uint16_t m_port = 0;
    int m_listenSocket = -1;
    bool m_running = false;
    bool m_quiesced = false;
    std::atomic<int> m_active {0};
};

} // namespace bronzechute
