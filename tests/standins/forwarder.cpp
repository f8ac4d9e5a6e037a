#include "standins/forwarder.h"

#include "http/http_status.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bronzechute::standins {

namespace {

constexpr int longestWait = 1000; // Milliseconds.

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

void sendWithoutDelay(int descriptor)
{
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

std::vector<frame_rule> readFrameRules(const nlohmann::json &list)
{
    std::vector<frame_rule> rules;
    for (const nlohmann::json &item : list) {
        frame_rule rule;
        rule.type = frameTypeNamed(item.at("type").get<std::string>());
        rule.action = frameActionNamed(item.at("action").get<std::string>());
        rule.delay = std::chrono::milliseconds(item.value("delay_ms", 0));
        rule.skip = item.value("skip", rule.skip);
        rule.times = item.value("times", rule.times);
        rules.push_back(rule);
    }
    return rules;
}

} // namespace

result<std::unique_ptr<forwarder>> forwarder::start(const forwarder_options &options)
{
    std::unique_ptr<forwarder> created(new forwarder);
    created->m_targetPort = options.targetPort;
    created->m_framed = options.frames;
    created->m_wakeDescriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (const auto listening = created->listenOn(options.port); !listening) {
        return listening.error();
    }
    http_server_options control;
    control.port = options.controlPort;
    auto server = http_server::start(control, *created);
    if (!server) {
        return server.error();
    }
    created->m_control = std::move(server.value());
    created->m_thread = std::thread([&target = *created] { target.run(); });
    return created;
}

forwarder::~forwarder()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopped = true;
    }
    wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_control.reset();
    close(m_listenSocket);
    close(m_wakeDescriptor);
}

result<void> forwarder::listenOn(std::uint16_t port)
{
    constexpr int backlog = 1024;
    m_listenSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int enabled = 1;
    setsockopt(m_listenSocket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address = loopback(port);
    socklen_t length = sizeof address;
    if (bind(m_listenSocket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(m_listenSocket, backlog) != 0
        || getsockname(m_listenSocket, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        return error {errc::unavailable, "forwarder.listen", std::to_string(port), std::strerror(errno)};
    }
    m_port = ntohs(address.sin_port);
    return success();
}

std::string forwarder::apply(const std::string &json)
{
    const auto object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object()) {
        return "the body is not a JSON object";
    }
    try {
        const std::scoped_lock lock(m_mutex);
        m_settings.delay = std::chrono::milliseconds(object.value("delay_ms", m_settings.delay.count()));
        m_settings.refuseNew = object.value("refuse_new", m_settings.refuseNew);
        m_settings.silenceNew = object.value("silence_new", m_settings.silenceNew);
        m_settings.pauseUp = object.value("pause_up", m_settings.pauseUp);
        m_settings.pauseDown = object.value("pause_down", m_settings.pauseDown);
        if (object.contains("frames")) {
            m_frameRules.rules = readFrameRules(object.at("frames"));
        }
        std::optional<std::uint64_t> limit;
        if (object.contains("silent_after_bytes")) {
            limit = object.at("silent_after_bytes").get<std::uint64_t>();
            m_settings.nextLimit = *limit;
            m_settings.nextConnections = object.value("next_connections", 0);
        }
        if (object.value("silence_open", false)) {
            limit = 0;
        }
        for (forwarded_connection &connection : m_connections) {
            connection.limit(limit.value_or(forwarded_connection::unlimited));
            connection.pause(m_settings.pauseUp, m_settings.pauseDown);
        }
        if (object.value("cut_open", false)) {
            for (const forwarded_connection &connection : m_connections) {
                m_closedUp += connection.bytesUp();
                m_closedDown += connection.bytesDown();
            }
            m_connections.clear();
        }
    } catch (const std::exception &problem) {
        return problem.what();
    }
    wake();
    return {};
}

http_reply forwarder::handle(const http_request &request)
{
    if (request.path == "/standin/faults" && request.method == "POST") {
        const std::string problem = apply(request.body);
        return {problem.empty() ? 200 : statusBadRequest, {}, problem, nullptr};
    }
    if (request.path == "/standin/stats") {
        return {200, {{"Content-Type", "application/json"}}, stats(), nullptr};
    }
    return {statusNotFound, {}, "", nullptr};
}

std::string forwarder::stats()
{
    const std::scoped_lock lock(m_mutex);
    std::uint64_t up = m_closedUp;
    std::uint64_t down = m_closedDown;
    for (const forwarded_connection &connection : m_connections) {
        up += connection.bytesUp();
        down += connection.bytesDown();
    }
    return nlohmann::json {{"accepted", m_accepted},
                           {"open", m_connections.size()},
                           {"silent", std::ranges::count_if(m_connections, &forwarded_connection::silent)},
                           {"bytes_up", up},
                           {"bytes_down", down},
                           {"unused_frame_rules", std::ranges::count(m_frameRules.rules, false, &frame_rule::applied)}}
        .dump();
}

void forwarder::run()
{
    std::vector<pollfd> entries;
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        time_point now = boot_clock::now();
        entries.assign({{m_wakeDescriptor, POLLIN, 0}, {m_listenSocket, POLLIN, 0}});
        const std::size_t fixed = entries.size();
        for (const forwarded_connection &connection : m_connections) {
            connection.addTo(entries, now);
        }
        const std::size_t count = m_connections.size();
        const int wait = waitMilliseconds(now);
        lock.unlock();
        poll(entries.data(), entries.size(), wait);
        lock.lock();
        std::uint64_t ignored = 0;
        if ((entries[0].revents & POLLIN) != 0 && read(m_wakeDescriptor, &ignored, sizeof ignored) < 0) {
            continue;
        }
        if (m_connections.size() != count) {
            continue; // A command has closed the connections; the entries no longer match them.
        }
        now = boot_clock::now();
        std::size_t index = fixed;
        for (auto position = m_connections.begin(); position != m_connections.end(); index += 2) {
            if (position->forward(entries[index], entries[index + 1], now, now + m_settings.delay)) {
                ++position;
                continue;
            }
            m_closedUp += position->bytesUp();
            m_closedDown += position->bytesDown();
            position = m_connections.erase(position);
        }
        if ((entries[1].revents & POLLIN) != 0) {
            acceptOne();
        }
    }
    m_connections.clear();
}

void forwarder::acceptOne()
{
    const int client = accept4(m_listenSocket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (client < 0) {
        return;
    }
    const int target = m_settings.refuseNew ? -1 : connectToTarget();
    if (target < 0) {
        close(client);
        return;
    }
    sendWithoutDelay(client);
    ++m_accepted;
    std::uint64_t remaining = m_settings.silenceNew ? 0 : forwarded_connection::unlimited;
    if (m_settings.nextConnections > 0) {
        --m_settings.nextConnections;
        remaining = std::min(remaining, m_settings.nextLimit);
    }
    m_connections.emplace_back(client, target, remaining, m_framed ? &m_frameRules : nullptr);
    m_connections.back().pause(m_settings.pauseUp, m_settings.pauseDown);
}

int forwarder::connectToTarget() const
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(m_targetPort);
    // On the loopback address connect() answers at once.
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    const int enabled = 1;
    ioctl(descriptor, FIONBIO, &enabled);
    sendWithoutDelay(descriptor);
    return descriptor;
}

void forwarder::wake() const
{
    const std::uint64_t one = 1;
    // The counter can only be full when the thread is about to wake anyway.
    [[maybe_unused]] const ssize_t written = write(m_wakeDescriptor, &one, sizeof one);
}

int forwarder::waitMilliseconds(time_point now)
{
    time_point due = now + std::chrono::milliseconds(longestWait);
    for (const forwarded_connection &connection : m_connections) {
        // What is due already waits for its socket, which poll() reports.
        const time_point next = connection.nextDue();
        due = next > now ? std::min(due, next) : due;
    }
    return static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(due - now).count());
}

} // namespace bronzechute::standins
