#include "standins/plain_service.h"

#include "base/scope_guard.h"
#include "http/http_status.h"
#include "standins/cut_source.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <thread>

namespace bronzechute::standins {

namespace {

constexpr int statusCreated = 201;
constexpr std::string_view orderPrefix = "/orders/";

nlohmann::json orderJson(const order_book::order &order)
{
    return {{"id", order.id}, {"text", order.text}};
}

http_reply jsonReply(int status, const nlohmann::json &body, std::uint64_t version)
{
    return {
        status, {{"Content-Type", "application/json"}, {"X-Version", std::to_string(version)}}, body.dump(), nullptr};
}

void raise(std::atomic<int> &peak, int value)
{
    int seen = peak.load();
    while (seen < value && !peak.compare_exchange_weak(seen, value)) { }
}

} // namespace

result<std::unique_ptr<plain_service>> plain_service::start(const plain_service_options &options)
{
    std::unique_ptr<plain_service> service(new plain_service(options));
    http_server_options serverOptions;
    serverOptions.port = options.port;
    auto server = http_server::start(serverOptions, *service);
    if (!server) {
        return server.error();
    }
    service->m_server = std::move(server.value());
    return service;
}

plain_service::plain_service(const plain_service_options &options)
    : m_options(options)
    , m_faults([this](int requests) { m_coldRequests = requests; })
    , m_coldRequests(options.coldRequests)
{
}

plain_service::~plain_service()
{
    m_faults.stop();
    m_server.reset();
}

std::string plain_service::url() const
{
    return "http://127.0.0.1:" + std::to_string(port());
}

http_reply plain_service::handle(const http_request &request)
{
    if (request.path == "/standin/faults" && request.method == "POST") {
        const std::string problem = m_faults.apply(request.body);
        return jsonReply(problem.empty() ? 200 : statusBadRequest, {{"error", problem}}, m_orders.version());
    }
    if (request.path == "/standin/stats") {
        return stats();
    }
    const int active = ++m_active;
    const scope_guard finished([this] { --m_active; });
    raise(m_peak, active);
    if (m_coldRequests > 0) {
        raise(m_peakWhileCold, active);
    }
    m_faults.waitWhile(&fault_settings::stall);
    http_reply reply = answer(request);
    m_faults.waitWhile(&fault_settings::neverAnswer);
    const std::int64_t cut = m_faults.current().cutAfterTokens;
    if (cut >= 0) {
        reply.stream = std::make_shared<cut_source>(reply.body.substr(0, static_cast<std::size_t>(cut)));
    }
    return reply;
}

http_reply plain_service::answer(const http_request &request)
{
    if (request.path == "/health") {
        return {200, {}, "", nullptr};
    }
    work();
    if (request.path == "/orders" && request.method == "POST") {
        return book(request);
    }
    if (request.path == "/orders" && request.method == "GET") {
        nlohmann::json list = nlohmann::json::array();
        for (const order_book::order &order : m_orders.all()) {
            list.push_back(orderJson(order));
        }
        return jsonReply(200, list, m_orders.version());
    }
    std::uint64_t id = 0;
    if (request.path.starts_with(orderPrefix) && request.method == "GET") {
        std::from_chars(request.path.data() + orderPrefix.size(), request.path.data() + request.path.size(), id);
    }
    const auto found = m_orders.find(id);
    return found ? jsonReply(200, orderJson(*found), m_orders.version())
                 : jsonReply(statusNotFound, {{"error", "not found: " + request.path}}, m_orders.version());
}

http_reply plain_service::book(const http_request &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("text") || !body["text"].is_string()) {
        return jsonReply(statusBadRequest, {{"error", "text: expected a string"}}, m_orders.version());
    }
    const std::string key = findHeader(request.headers, "Idempotency-Key").value_or("");
    const order_book::order booked = m_orders.book(body["text"].get<std::string>(), key);
    nlohmann::json answer = orderJson(booked);
    if (m_options.paddingBytes > 0) {
        answer["padding"] = std::string(m_options.paddingBytes, 'x');
    }
    http_reply reply = jsonReply(statusCreated, answer, booked.id);
    if (!m_options.outcome.empty()) {
        reply.headers.emplace_back("X-Bronzechute-Outcome", m_options.outcome);
    }
    return reply;
}

http_reply plain_service::stats()
{
    return jsonReply(200,
                     {{"orders_by_text", m_orders.countByText()},
                      {"orders_by_key", m_orders.countByKey()},
                      {"version", m_orders.version()},
                      {"active", m_active.load()},
                      {"peak_concurrency", m_peak.load()},
                      {"peak_while_cold", m_peakWhileCold.load()},
                      {"cold", m_coldRequests > 0}},
                     m_orders.version());
}

void plain_service::work()
{
    std::chrono::duration<double, std::micro> time = m_options.work;
    int cold = m_coldRequests.load();
    while (cold > 0 && !m_coldRequests.compare_exchange_weak(cold, cold - 1)) { }
    if (cold > 0) {
        time += m_options.coldWork;
    }
    time *= m_faults.current().slowFactor;
    if (time.count() > 0) {
        std::this_thread::sleep_for(time);
    }
}

} // namespace bronzechute::standins
