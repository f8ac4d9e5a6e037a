#include "standins/crashing_engine.h"

#include <mutex>

namespace bronzechute::standins {

namespace {

constexpr std::chrono::milliseconds prefillTime {15};
constexpr std::chrono::milliseconds eventInterval {4};

std::string chunk(const std::string &bytes)
{
    char size[20] = {};
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
}

std::string eventOf(int number)
{
    const std::string text = std::to_string(number);
    return "id: " + text + "\ndata: token " + text + "\n\n";
}

} // namespace

crashing_engine::crashing_engine(std::function<void(int)> onStart)
    : m_onStart(std::move(onStart))
    , m_server(std::make_unique<scripted_server>(
          [this](const scripted_request &request, raw_connection &connection) { return serve(request, connection); }))
{
    m_address = m_server->address();
    m_onStart(0);
    m_restarter = std::jthread([this](const std::stop_token &stop) { restart(stop); });
}

crashing_engine::~crashing_engine()
{
    m_restarter.request_stop();
    m_crashed.notify_all();
    m_restarter.join();
}

void crashing_engine::setDeadly(std::set<std::string> parts)
{
    const std::scoped_lock lock(m_mutex);
    m_deadly = std::move(parts);
}

void crashing_engine::crash()
{
    const std::scoped_lock lock(m_mutex);
    m_down = true;
    m_crashed.notify_all();
}

std::vector<std::string> crashing_engine::prompts()
{
    const std::scoped_lock lock(m_mutex);
    return m_prompts;
}

bool crashing_engine::isDeadly(const std::string &prompt)
{
    const std::scoped_lock lock(m_mutex);
    for (const std::string &part : m_deadly) {
        if (("," + prompt).find("," + part + ":") != std::string::npos) {
            return true;
        }
    }
    return false;
}

bool crashing_engine::serve(const scripted_request &request, raw_connection &connection)
{
    const std::string prompt = request.header("x-prompt-parts");
    {
        const std::scoped_lock lock(m_mutex);
        m_prompts.push_back(prompt);
    }
    const std::string last = request.header("last-event-id");
    if (!m_beginsEarly) {
        std::this_thread::sleep_for(prefillTime);
    }
    const std::string id = "X-Request-Id: " + request.header("x-request-id");
    if (!connection.send("HTTP/1.1 200 OK\r\n" + id
                         + "\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n")) {
        return false;
    }
    if (m_beginsEarly) {
        std::this_thread::sleep_for(prefillTime);
    }
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    const bool crashes = isDeadly(prompt);
    for (int number = first; number <= events && !(crashes && number - first >= m_eventsBeforeCrash); ++number) {
        if (!connection.send(chunk(eventOf(number)))) {
            return false;
        }
        std::this_thread::sleep_for(eventInterval);
    }
    if (crashes) {
        crash();
        connection.waitForClose();
        return false;
    }
    return connection.send("0\r\n\r\n");
}

void crashing_engine::restart(const std::stop_token &stop)
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_crashed.wait(lock, [&] { return m_down || stop.stop_requested(); });
        if (stop.stop_requested()) {
            return;
        }
        lock.unlock();
        m_server.reset();
        ++m_crashes;
        std::this_thread::sleep_for(downtime);
        const std::string port = m_address.substr(m_address.find(':') + 1);
        m_server = std::make_unique<scripted_server>(
            [this](const scripted_request &request, raw_connection &connection) { return serve(request, connection); },
            static_cast<std::uint16_t>(std::stoi(port)));
        lock.lock();
        m_down = false;
        lock.unlock();
        m_onStart(m_crashes);
        lock.lock();
    }
}

} // namespace bronzechute::standins
