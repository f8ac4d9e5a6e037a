#include "gateway_harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

/** Replaces the platform's directory; the harness calls the observer directly. */
class idle_routing_source : public routing_source
{
};

constexpr int readTimeoutSeconds = 10;

route makeRoute(const std::string &name, request_kind kind, std::chrono::milliseconds timeout)
{
    route made;
    made.name = name;
    made.host = "example";
    made.pathPrefix = "/" + name + "/";
    made.kind = kind;
    made.services = {{"service", 1}};
    made.timeout = timeout;
    made.latencyTarget = 400ms;
    made.maxAttempts = kind == request_kind::non_idempotent ? 1 : 2;
    made.resumable = kind == request_kind::streaming;
    return made;
}

std::string readAll(int descriptor)
{
    std::string received;
    std::string bytes(65536, '\0');
    for (;;) {
        const auto count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
        if (count <= 0) {
            return received;
        }
        received.append(bytes, 0, static_cast<std::size_t>(count));
    }
}

/** Appends the decoded chunks to the body. @returns whether the final chunk was received */
bool decodeChunks(std::string_view text, std::string &body)
{
    for (;;) {
        const std::size_t lineEnd = text.find("\r\n");
        if (lineEnd == std::string_view::npos) {
            return false;
        }
        const std::size_t size = std::stoul(std::string(text.substr(0, lineEnd)), nullptr, 16);
        text.remove_prefix(lineEnd + 2);
        if (size == 0) {
            return true;
        }
        if (text.size() < size + 2) {
            return false;
        }
        body.append(text.substr(0, size));
        text.remove_prefix(size + 2);
    }
}

caller_answer parseAnswer(const std::string &received)
{
    caller_answer answer;
    const std::size_t headEnd = received.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return answer;
    }
    answer.head = received.substr(0, headEnd + 2);
    answer.status = std::stoi(answer.head.substr(answer.head.find(' ') + 1));
    const std::string rest = received.substr(headEnd + 4);
    if (answer.header("transfer-encoding") == "chunked") {
        answer.complete = decodeChunks(rest, answer.body);
    } else {
        answer.body = rest;
        answer.complete = rest.size() == std::stoul("0" + answer.header("content-length"));
    }
    return answer;
}

} // namespace

std::string caller_answer::header(const std::string &lowerCaseName) const
{
    std::string lower = head;
    std::ranges::transform(lower, lower.begin(), [](unsigned char letter) { return std::tolower(letter); });
    const std::size_t name = lower.find("\r\n" + lowerCaseName + ": ");
    if (name == std::string::npos) {
        return {};
    }
    const std::size_t value = name + lowerCaseName.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

gateway_harness::gateway_harness(std::chrono::milliseconds drainTimeout)
{
    daemon_settings settings;
    settings.role = daemon_role::gateway;
    settings.node = "gateway-1";
    settings.dataCentre = "here";
    settings.drainTimeout = drainTimeout;
    gateway_options options;
    options.openSource = [this](routing_observer &observer) -> std::unique_ptr<routing_source> {
        m_observer = &observer;
        return std::make_unique<idle_routing_source>();
    };
    auto role = gateway_role::start(settings, std::move(options));
    if (!role) {
        throw std::runtime_error(role.error().toString());
    }
    m_role = std::move(role.value());
}

routing_document gateway_harness::defaultDocument()
{
    routing_document document;
    document.version = 1;
    document.routes = {makeRoute("read", request_kind::idempotent, 2000ms),
                       makeRoute("order", request_kind::non_idempotent, 1000ms),
                       makeRoute("stream", request_kind::streaming, 4000ms)};
    routed_service service;
    service.name = "service";
    document.services = {service};
    return document;
}

void gateway_harness::applyDocument(const routing_document &document)
{
    m_observer->onRouting(std::make_shared<routing_table>(document));
    waitForEventLoop();
}

void gateway_harness::addEndpoint(const std::string &id, const std::string &address, const std::string &service,
                                  std::int64_t startedAtMs)
{
    endpoint_record record;
    record.id = id;
    record.service = service;
    record.address = address;
    record.dataCentre = "here";
    record.slots = 4;
    record.startedAtMs = startedAtMs;
    m_observer->onEndpoint(record);
    m_observer->onInitialListComplete();
    waitForEventLoop();
}

void gateway_harness::removeEndpoint(const std::string &id)
{
    m_observer->onEndpointGone(id);
    waitForEventLoop();
}

void gateway_harness::waitForEventLoop()
{
    requestStatus("/metrics"); // The event loop serves this request after everything that was posted before.
}

int gateway_harness::connectTo(const std::string &name)
{
    const std::string addresses = m_role->addresses();
    const std::size_t begin = addresses.find(name + "=") + name.size() + 1;
    const std::string address = addresses.substr(begin, addresses.find(' ', begin) - begin);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in peer {};
    peer.sin_family = AF_INET;
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    const timeval timeout {readTimeoutSeconds, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (::connect(descriptor, reinterpret_cast<sockaddr *>(&peer), sizeof(peer)) != 0) {
        ::close(descriptor);
        throw std::runtime_error("the gateway does not listen on " + address);
    }
    return descriptor;
}

caller_answer gateway_harness::request(const std::string &method, const std::string &path, const std::string &headers,
                                       const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: example\r\nConnection: close\r\n" + headers;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return sendRaw(text + "\r\n" + body);
}

caller_answer gateway_harness::sendRaw(const std::string &bytes)
{
    const int descriptor = connectTo("http");
    ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    const std::string received = readAll(descriptor);
    ::close(descriptor);
    return parseAnswer(received);
}

void gateway_harness::requestAndDisconnect(const std::string &path, std::chrono::milliseconds after)
{
    const int descriptor = connectTo("http");
    const std::string text = "GET " + path + " HTTP/1.1\r\nHost: example\r\nX-Request-Id: gone\r\n\r\n";
    ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(after);
    ::close(descriptor);
}

caller_answer gateway_harness::requestStatus(const std::string &path)
{
    const int descriptor = connectTo("status");
    const std::string text = "GET " + path + " HTTP/1.1\r\nHost: status\r\nConnection: close\r\n\r\n";
    ::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL);
    const std::string received = readAll(descriptor);
    ::close(descriptor);
    return parseAnswer(received);
}

} // namespace bronzechute
