#include "gateway_harness.h"

#include <arpa/inet.h>
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

} // namespace

gateway_harness::gateway_harness(std::chrono::milliseconds drainTimeout)
{
    daemon_settings settings;
    settings.role = daemon_role::gateway;
    settings.node = "gateway-1";
    settings.dataCentre = "here";
    settings.drainTimeout = drainTimeout;
    // A gateway that has just started has no fixed retries, so the share of its own requests has to allow them.
    settings.gateway.repeats.share = 2;
    gateway_options options;
    options.openSource = [this](routing_observer &observer, watch_relay &) -> std::unique_ptr<routing_source> {
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
    caller_connection connection = connect();
    connection.send(bytes);
    caller_answer answer = connection.read();
    answer.complete = answer.complete && connection.endsHere();
    return answer;
}

void gateway_harness::freeze(std::chrono::milliseconds time)
{
    // The gateway ignores a document that is older than the one in force, and drops it on the event loop.
    routing_document old = defaultDocument();
    old.version = 0;
    m_observer->onRouting(
        std::shared_ptr<const routing_table>(new routing_table(old), [time](const routing_table *table) {
            std::this_thread::sleep_for(time);
            delete table;
        }));
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
    caller_connection connection = connect("status");
    connection.send("GET " + path + " HTTP/1.1\r\nHost: status\r\nConnection: close\r\n\r\n");
    return connection.read();
}

} // namespace bronzechute
