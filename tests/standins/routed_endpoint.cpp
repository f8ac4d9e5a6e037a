#include "standins/routed_endpoint.h"

#include "http/http_status.h"
#include "standins/routed_answer.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace bronzechute::standins {

namespace {

using json = nlohmann::json;

constexpr int statusFailed = 500;
constexpr int statusUnavailable = 503;
constexpr std::chrono::seconds coldWindow {1};
constexpr std::chrono::milliseconds lateOrderDelay {300};
// What the users tolerate above the rate of a cold endpoint, in each second.
constexpr double coldFactor = 1.5;
constexpr double coldSlack = 5;

std::string head(int status, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "\r\n";
}

std::string whole(int status, const std::string &fields, const std::string &body)
{
    return head(status, fields + "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

std::string notRun(int status, const std::string &id, const std::string &fields = {})
{
    return whole(status, "X-Not-Executed: 1\r\nX-Attempt-Id: " + id + "\r\n" + fields, "");
}

void writeLine(const std::string &line)
{
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

std::string timeText(time_point at)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count());
}

void writeViolation(time_point at, const char *kind, const std::string &id)
{
    writeLine("violation " + timeText(at) + " " + kind + " " + id);
}

std::string secondsText(std::chrono::milliseconds time)
{
    constexpr double perSecond = 1000.0;
    return std::to_string(static_cast<double>(time.count()) / perSecond);
}

std::string chunk(const std::string &bytes)
{
    char size[20] = {};
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return std::string(size) + "\r\n" + bytes + "\r\n";
}

} // namespace

routed_endpoint::routed_endpoint(routed_endpoint_options options, std::shared_ptr<rank_passes> group, std::size_t rank)
    : m_options(std::move(options))
    , m_group(std::move(group))
    , m_rank(rank)
    , m_random(std::hash<std::string> {}(m_options.id))
    , m_coldUntil(boot_clock::now() + m_options.cold)
    , m_server(
          [this](const scripted_request &request, raw_connection &connection) { return serve(request, connection); },
          m_options.port)
{
}

std::chrono::milliseconds routed_endpoint::coldRemaining()
{
    const std::scoped_lock lock(m_mutex);
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(m_coldUntil - boot_clock::now());
    return std::max(remaining, std::chrono::milliseconds(0));
}

void routed_endpoint::leaveAfter(std::chrono::milliseconds time)
{
    const std::scoped_lock lock(m_mutex);
    m_leftAt = boot_clock::now() + time;
}

void routed_endpoint::sayLeaving()
{
    const std::scoped_lock lock(m_mutex);
    m_saysLeaving = true;
}

void routed_endpoint::writeStatement(const std::string &id, const std::string &what)
{
    m_hasStated = true;
    writeLine("stated " + timeText(boot_clock::now()) + " " + m_options.id + " " + id + " " + what);
}

std::string routed_endpoint::leavingField(const std::string &id)
{
    const std::scoped_lock lock(m_mutex);
    if (!m_saysLeaving) {
        return {};
    }
    writeStatement(id, "leaving");
    return "Server-Leaving: 1\r\n";
}

std::optional<std::chrono::milliseconds> routed_endpoint::takePause(const std::string &id)
{
    const std::scoped_lock lock(m_mutex);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_pauseEnd - boot_clock::now());
    const std::chrono::milliseconds pause = std::max<std::chrono::milliseconds>(left, m_claimedPause);
    if (pause.count() <= 0) {
        return std::nullopt;
    }
    writeStatement(id, "pause " + std::to_string(pause.count()));
    return pause;
}

bool routed_endpoint::happens(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

bool routed_endpoint::serve(const scripted_request &request, raw_connection &connection)
{
    if (request.target.starts_with("/standin/")) {
        return serveControl(request, connection);
    }
    const std::string id = request.header("x-attempt-id");
    if (request.header("x-target-instance") != m_options.id) {
        return connection.send(notRun(statusMisdirected, id));
    }
    if (request.target == "/v1/report" || request.target.starts_with("/v1/picked") || request.target == "/v1/order") {
        return serveRank(request, connection);
    }
    fault_shares faults;
    {
        const std::scoped_lock lock(m_mutex);
        noteArrival(id);
        faults = m_faults;
        if (happens(faults.refuse)) {
            faults.refuse = 1;
        }
    }
    if (const auto pause = takePause(id)) {
        const std::string fields = leavingField(id) + "Retry-After: " + secondsText(*pause) + "\r\n";
        return connection.send(notRun(statusServiceUnavailable, id, fields));
    }
    if (faults.refuse == 1 || (m_group != nullptr && !m_group->open()) || !waitForSlot()) {
        return connection.send(notRun(statusServiceUnavailable, id, leavingField(id)));
    }
    const bool streams = request.target.starts_with("/stream/");
    const bool kept = streams ? stream(request, connection, faults) : run(request, connection, faults);
    const std::scoped_lock lock(m_mutex);
    --m_running;
    m_slotFree.notify_one();
    return kept;
}

void routed_endpoint::noteArrival(const std::string &id)
{
    const time_point now = boot_clock::now();
    if (m_hasStated) {
        writeLine("arrival " + timeText(now) + " " + m_options.id + " " + id);
    }
    if (m_leftAt && now > *m_leftAt) {
        writeViolation(now, "left", id);
    }
    if (now < m_coldUntil && m_options.coldPerSecond > 0) {
        m_coldArrivals.push_back(now);
        while (m_coldArrivals.front() <= now - coldWindow) {
            m_coldArrivals.pop_front();
        }
        if (static_cast<double>(m_coldArrivals.size()) > m_options.coldPerSecond * coldFactor + coldSlack) {
            writeViolation(now, "cold", id);
        }
    }
}

void routed_endpoint::noteRun(const scripted_request &request)
{
    const std::string id = request.header("x-attempt-id");
    ++m_runs[id];
    writeLine("run " + id + " " + request.header("x-tenant"));
}

bool routed_endpoint::waitForSlot()
{
    std::unique_lock lock(m_mutex);
    if (m_running >= m_options.slots) {
        if (m_queued >= m_options.queue) {
            return false;
        }
        ++m_queued;
        m_slotFree.wait(lock, [this] { return m_running < m_options.slots; });
        --m_queued;
    }
    ++m_running;
    return true;
}

bool routed_endpoint::run(const scripted_request &request, raw_connection &connection, const fault_shares &faults)
{
    const std::string id = request.header("x-attempt-id");
    bool loses = false;
    bool cuts = false;
    bool garbles = false;
    int failure = 0; ///< Status in place of the success, if there is one.
    {
        const std::scoped_lock lock(m_mutex);
        noteRun(request);
        loses = happens(faults.loseAnswers);
        cuts = happens(faults.cutAnswers);
        garbles = happens(faults.garble);
        if (happens(faults.fail)) {
            failure = ++m_failures % 2 == 0 ? statusUnavailable : statusFailed;
        }
    }
    std::this_thread::sleep_for(m_options.work);
    const std::string body = routedBody(id, request.target);
    const std::string fields =
        "X-Attempt-Id: " + id + "\r\nX-Server-Signature: " + routedSignature(id) + "\r\n" + leavingField(id);
    const std::string answer = failure != 0 ? whole(failure, fields, "failed") : whole(statusOk, fields, body);
    if (loses) {
        return false;
    }
    if (garbles) {
        connection.send("\x16\x03 not an answer\r\n\r\n");
        return false;
    }
    if (cuts) {
        connection.send(answer.substr(0, answer.size() / 2));
        return false;
    }
    return connection.send(answer);
}

bool routed_endpoint::stream(const scripted_request &request, raw_connection &connection, const fault_shares &faults)
{
    const std::string id = request.header("x-attempt-id");
    const std::string last = request.header("last-event-id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    int cutAt = 0;
    {
        const std::scoped_lock lock(m_mutex);
        noteRun(request);
        if (happens(faults.cutAnswers + faults.loseAnswers)) {
            cutAt = std::uniform_int_distribution<int>(first, m_options.events)(m_random);
        }
    }
    std::this_thread::sleep_for(m_options.work);
    if (!connection.send(head(statusOk,
                              "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: " + id
                                  + "\r\nX-Server-Signature: " + routedSignature(id) + "\r\n" + leavingField(id)))) {
        return false;
    }
    if (isDeadly(request.header("x-prompt-prefix"))) {
        std::_Exit(EXIT_FAILURE);
    }
    for (int number = first; number <= m_options.events; ++number) {
        const std::string event = routedEvent(id, number);
        if (m_group != nullptr && !m_group->waitForPass()) {
            return false;
        }
        if (number == cutAt) {
            connection.send(chunk(event.substr(0, event.size() / 2)));
            return false;
        }
        if (!connection.send(chunk(event))) {
            return false;
        }
        std::this_thread::sleep_for(m_group != nullptr ? std::chrono::milliseconds(0) : m_options.eventInterval);
    }
    return connection.send("0\r\n\r\n");
}

bool routed_endpoint::isDeadly(const std::string &prompt)
{
    const std::scoped_lock lock(m_mutex);
    return std::ranges::any_of(m_deadlyParts, [&prompt](const std::string &part) {
        return ("," + prompt).find("," + part + ":") != std::string::npos;
    });
}

bool routed_endpoint::serveRank(const scripted_request &request, raw_connection &connection)
{
    if (m_group == nullptr) {
        return connection.send(whole(statusOk, "", "{}"));
    }
    if (request.target == "/v1/order") {
        const json order = json::parse(request.body);
        {
            const std::scoped_lock lock(m_mutex);
            if (happens(m_faults.lateOrders)) {
                m_lateOrders.emplace_back([this, order] {
                    std::this_thread::sleep_for(lateOrderDelay);
                    m_group->order(m_rank, order);
                });
                return false;
            }
        }
        const int status = m_group->order(m_rank, order);
        return connection.send(whole(status, "", "{}"));
    }
    const json body = request.target == "/v1/report"
        ? m_group->report(m_rank)
        : m_group->counts(m_rank, request.target.find("lists") != std::string::npos);
    return connection.send(whole(statusOk, "Content-Type: application/json\r\n", body.dump()));
}

bool routed_endpoint::serveControl(const scripted_request &request, raw_connection &connection)
{
    if (request.target == "/standin/faults") {
        inject(json::parse(request.body));
        return connection.send(whole(statusOk, "", "{}"));
    }
    return connection.send(whole(statusOk, "Content-Type: application/json\r\n", stats()));
}

void routed_endpoint::inject(const json &faults)
{
    if (faults.contains("break_group_ms") && m_group != nullptr) {
        m_group->breakFor(std::chrono::milliseconds(faults.at("break_group_ms").get<int>()));
    }
    if (faults.contains("leave_after_ms")) {
        leaveAfter(std::chrono::milliseconds(faults.at("leave_after_ms").get<int>()));
    }
    const std::scoped_lock lock(m_mutex);
    m_faults.loseAnswers = faults.value("lose_answers", m_faults.loseAnswers);
    m_faults.cutAnswers = faults.value("cut_answers", m_faults.cutAnswers);
    m_faults.garble = faults.value("garble", m_faults.garble);
    m_faults.fail = faults.value("fail", m_faults.fail);
    m_faults.refuse = faults.value("refuse", m_faults.refuse);
    m_faults.lateOrders = faults.value("late_orders", m_faults.lateOrders);
    m_deadlyParts = faults.value("deadly_parts", m_deadlyParts);
    m_saysLeaving = faults.value("say_leaving", m_saysLeaving);
    m_claimedPause = std::chrono::seconds(faults.value("claim_pause_s", m_claimedPause.count()));
    if (faults.contains("pause_ms")) {
        m_pauseEnd = boot_clock::now() + std::chrono::milliseconds(faults.at("pause_ms").get<int>());
    }
    if (faults.contains("cold_ms")) {
        m_coldUntil = boot_clock::now() + std::chrono::milliseconds(faults.at("cold_ms").get<int>());
    }
}

std::string routed_endpoint::stats()
{
    json body = json::object();
    if (m_group != nullptr) {
        body["mixed_passes"] = m_group->mixedPasses();
        body["switches"] = m_group->switches();
    }
    const std::scoped_lock lock(m_mutex);
    body["runs"] = m_runs;
    return body.dump();
}

} // namespace bronzechute::standins
