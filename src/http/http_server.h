#pragma once

#include "base/result.h"
#include "http/connection_table.h"
#include "http/http_handler.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

// Forward declarations of ulfius types.
struct _u_instance; // NOLINT(bugprone-reserved-identifier)
struct _u_request; // NOLINT(bugprone-reserved-identifier)
struct _u_response; // NOLINT(bugprone-reserved-identifier)

namespace bronzechute {

/** Listening address, body size limit and TLS credentials of an http_server. */
struct http_server_options
{
    std::string address = "127.0.0.1"; ///< IPv4 address.
    std::uint16_t port = 0; ///< 0 lets the kernel choose a port.
    std::size_t bodyLimit = std::size_t {4} * 1024 * 1024; ///< Bytes; larger bodies set http_request::bodyTooLarge.
    std::size_t maxConnections = 0; ///< At which a new one takes the place of an idle one; 0: no limit.
    std::size_t handledBodyBytes = 0; ///< Of all requests that are handled; beyond it they get 503; 0: no limit.
    std::string tlsCertificate; ///< PEM text; TLS is disabled when empty.
    std::string tlsKey; ///< PEM text.
};

/**
 * An HTTP server based on ulfius, with one thread per connection and one handler for all paths.
 */
class http_server
{
public:
    /** Creates the server and starts listening. @returns errc::unavailable when the address cannot be bound. */
    static result<std::unique_ptr<http_server>> start(const http_server_options &options, http_handler &handler);

    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /** Stops accepting connections; open connections stay open. */
    void quiesce();

    /** @returns the number of requests whose response is not finished. */
    int activeRequests() const
    {
        return m_activeRequests.load();
    }

private:
    explicit http_server(http_handler &handler);

    static int onRequest(const _u_request *request, _u_response *response, void *self);
    int handleRequest(const _u_request *request, _u_response *response);

    http_handler &m_handler;
    connection_table m_connections;
    std::unique_ptr<_u_instance> m_instance;
    std::size_t m_bodyLimit = 0;
    std::size_t m_handledBodyLimit = 0;
    std::atomic<std::size_t> m_handledBodyBytes {0};
    std::string m_certificate;
    std::string m_key;
    std::uint16_t m_port = 0;
    int m_listenSocket = -1;
    bool m_running = false;
    bool m_quiesced = false;
    std::atomic<int> m_activeRequests {0};
};

} // namespace bronzechute
