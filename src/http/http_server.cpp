#include "http/http_server.h"

#include "base/scope_guard.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>
#include <vector>

namespace bronzechute {

namespace {

constexpr const char *httpListenStep = "http.listen";
constexpr std::size_t streamBlockBytes = std::size_t {16} * 1024;
constexpr unsigned int connectionIdleSeconds = 120;
constexpr int listenBacklog = 1024;
// Bodies up to this size are handled in any case.
constexpr std::size_t smallBodyBytes = std::size_t {64} * 1024;

/** Keeps the body source alive while one response is streamed. */
struct stream_state
{
    std::shared_ptr<body_source> source;
    std::atomic<int> *active;
    connection_table *connections;
    std::string peer;
};

ssize_t readStream(void *data, std::uint64_t, char *buffer, std::size_t capacity)
{
    auto *state = static_cast<stream_state *>(data);
    const ssize_t count = state->source->read(buffer, capacity);
    if (count == body_source::endOfBody) {
        return U_STREAM_END;
    }
    if (count == body_source::broken) {
        return U_STREAM_ERROR;
    }
    return count;
}

void closeStream(void *data)
{
    const std::unique_ptr<stream_state> state(static_cast<stream_state *>(data));
    state->source->onClosed();
    --*state->active;
    state->connections->setBusy(state->peer, false);
}

header_list copyHeaders(const _u_map *map)
{
    header_list headers;
    const char **keys = u_map_enum_keys(map);
    for (int index = 0; keys != nullptr && keys[index] != nullptr; ++index) {
        const char *value = u_map_get(map, keys[index]);
        headers.emplace_back(keys[index], value == nullptr ? "" : value);
    }
    return headers;
}

/**
 * @returns whether libmicrohttpd writes this header itself. It rejects such a header from its caller, and ulfius then
 *          drops every header after it.
 */
bool isLibmicrohttpdHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 4> names {"Content-Length", "Transfer-Encoding", "Connection", "Date"};
    return std::ranges::any_of(names, [name](std::string_view each) { return headerNamesEqual(each, name); });
}

/** @returns the reply to a request that is not handled because too many large bodies are. */
http_reply memoryRefusal()
{
    return {503, {{"Retry-After", "1"}, {"X-Bronzechute-Outcome", "not_run"}}, {}, nullptr};
}

http_request readRequest(const _u_request &request, std::size_t bodyLimit)
{
    http_request copy;
    copy.method = request.http_verb;
    const std::string url = request.http_url;
    const auto question = url.find('?');
    copy.path = url.substr(0, question);
    copy.query = question == std::string::npos ? "" : url.substr(question + 1);
    copy.headers = copyHeaders(request.map_header);
    copy.peer = connection_table::addressText(request.client_address);
    copy.bodyTooLarge = request.binary_body_length > bodyLimit;
    if (!copy.bodyTooLarge && request.binary_body != nullptr) {
        copy.body.assign(static_cast<const char *>(request.binary_body), request.binary_body_length);
    }
    return copy;
}

} // namespace

http_server::http_server(http_handler &handler) : m_handler(handler), m_instance(std::make_unique<_u_instance>())
{
}

result<std::unique_ptr<http_server>> http_server::start(const http_server_options &options, http_handler &handler)
{
    const std::string peer = options.address + ":" + std::to_string(options.port);
    std::unique_ptr<http_server> server(new http_server(handler));
    server->m_bodyLimit = options.bodyLimit;
    server->m_handledBodyLimit = options.handledBodyBytes;
    server->m_certificate = options.tlsCertificate;
    server->m_key = options.tlsKey;

    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
        return error {errc::invalid_argument, httpListenStep, peer, "not an IPv4 address"};
    }
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    scope_guard closeSocket([descriptor] { close(descriptor); });
    const int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    socklen_t length = sizeof address;
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(descriptor, listenBacklog) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        // Save errno first, because the allocations made while building the error may change it.
        const int reason = errno;
        return error {errc::unavailable, httpListenStep, peer, std::strerror(reason)};
    }
    server->m_port = ntohs(address.sin_port);

    _u_instance *instance = server->m_instance.get();
    if (ulfius_init_instance(instance, server->m_port, &address, nullptr) != U_OK) {
        return error {errc::unavailable, httpListenStep, peer, "ulfius_init_instance failed"};
    }
    scope_guard cleanInstance([instance] { ulfius_clean_instance(instance); });
    // Accept one byte more than the limit, so that a body at the limit can be told from a larger one.
    instance->max_post_body_size = options.bodyLimit + 1;
    instance->check_utf8 = 0;
    instance->allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(instance, &http_server::onRequest, server.get());

    // Pass libmicrohttpd a socket that is already bound, so that the kernel can choose the port.
    unsigned int flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL | MHD_USE_ITC;
    std::vector<MHD_OptionItem> mhdOptions = {
        {MHD_OPTION_LISTEN_SOCKET, descriptor, nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&mhd_request_completed), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, connectionIdleSeconds, nullptr},
        {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&connection_table::notify), &server->m_connections},
    };
    if (options.maxConnections > 0) {
        server->m_connections.setLimit(options.maxConnections);
        // Connections that were shut down to make room need a moment to end.
        mhdOptions.push_back({MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(2 * options.maxConnections), nullptr});
    }
    if (!options.tlsCertificate.empty()) {
        flags |= MHD_USE_TLS;
        mhdOptions.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, server->m_certificate.data()});
        mhdOptions.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, server->m_key.data()});
    }
    mhdOptions.push_back({MHD_OPTION_END, 0, nullptr});
    if (ulfius_start_framework_with_mhd_options(instance, flags, mhdOptions.data()) != U_OK) {
        return error {errc::unavailable, httpListenStep, peer, "ulfius_start_framework_with_mhd_options failed"};
    }
    closeSocket.dismiss();
    cleanInstance.dismiss();
    server->m_listenSocket = descriptor;
    server->m_running = true;
    return server;
}

http_server::~http_server()
{
    if (m_running) {
        ulfius_stop_framework(m_instance.get());
        ulfius_clean_instance(m_instance.get());
    }
    if (m_quiesced) {
        // MHD_quiesce_daemon() returns ownership of the listening socket to its caller.
        close(m_listenSocket);
    }
}

void http_server::quiesce()
{
    if (m_quiesced) {
        return;
    }
    MHD_quiesce_daemon(m_instance->mhd_daemon);
    m_quiesced = true;
    // Refuse new connections immediately instead of leaving them in the backlog.
    shutdown(m_listenSocket, SHUT_RDWR);
}

int http_server::onRequest(const _u_request *request, _u_response *response, void *self)
{
    return static_cast<http_server *>(self)->handleRequest(request, response);
}

int http_server::handleRequest(const _u_request *request, _u_response *response)
{
    ++m_activeRequests;
    const std::string peer = connection_table::addressText(request->client_address);
    m_connections.setBusy(peer, true);
    scope_guard requestGuard([this, &peer] {
        --m_activeRequests;
        m_connections.setBusy(peer, false);
    });
    http_request received = readRequest(*request, m_bodyLimit);
    received.connection = m_connections.find(received.peer);
    const std::size_t bodyBytes = received.body.size();
    const std::size_t handledBytes = m_handledBodyBytes.fetch_add(bodyBytes);
    scope_guard bodyGuard([this, bodyBytes] { m_handledBodyBytes -= bodyBytes; });
    const bool isTooMuch = m_handledBodyLimit > 0 && bodyBytes > smallBodyBytes && handledBytes > 0
        && handledBytes + bodyBytes > m_handledBodyLimit;
    const http_reply reply = isTooMuch ? memoryRefusal() : m_handler.handle(received);
    for (const auto &[name, value] : reply.headers) {
        if (isLibmicrohttpdHeader(name)) {
            continue;
        }
        u_map_put(response->map_header, name.c_str(), value.c_str());
    }
    if (reply.stream == nullptr) {
        ulfius_set_binary_body_response(response, static_cast<unsigned int>(reply.status), reply.body.data(),
                                        reply.body.size());
        return U_CALLBACK_COMPLETE;
    }
    requestGuard.dismiss(); // closeStream() decrements the count instead.
    auto state = std::make_unique<stream_state>(stream_state {reply.stream, &m_activeRequests, &m_connections, peer});
    ulfius_set_stream_response(response, static_cast<unsigned int>(reply.status), readStream, closeStream,
                               U_STREAM_SIZE_UNKNOWN, streamBlockBytes, state.release());
    return U_CALLBACK_COMPLETE;
}

} // namespace bronzechute
