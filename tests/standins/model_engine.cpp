#include "standins/model_engine.h"

#include "http/http_status.h"
#include "standins/completion_format.h"
#include "standins/completion_request.h"
#include "standins/completion_source.h"
#include "standins/connected_peers.h"

#include <algorithm>
#include <mutex>
#include <nlohmann/json.hpp>

namespace bronzechute::standins {

namespace {

constexpr std::chrono::milliseconds watchInterval {200};
constexpr std::size_t longestOrder = 200; // More would make the statistics of a long run large.

http_reply jsonTextReply(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body), nullptr};
}

http_reply errorReply(int status, const std::string &message)
{
    return jsonTextReply(status, nlohmann::json {{"error", {{"message", message}}}}.dump());
}

std::string sample(const std::string &name, const std::string &labels, double value)
{
    return "# TYPE " + name + " gauge\n" + name + labels + " " + std::to_string(value) + "\n";
}

} // namespace

result<std::unique_ptr<model_engine>> model_engine::start(const model_engine_options &options)
{
    std::unique_ptr<model_engine> engine(new model_engine(options));
    http_server_options serverOptions;
    serverOptions.port = options.port;
    auto server = http_server::start(serverOptions, *engine);
    if (!server) {
        return server.error();
    }
    engine->m_server = std::move(server.value());
    engine->m_watcher = std::thread([&target = *engine] { target.watchClients(); });
    return engine;
}

model_engine::model_engine(const model_engine_options &options)
    : m_options(options), m_faults([this](int requests) { m_batch.turnCold(requests); }), m_batch(options, m_faults)
{
    const std::chrono::duration<double> sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    m_startTime = std::to_string(sinceEpoch.count());
}

model_engine::~model_engine()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopped = true;
        m_stopping.notify_all();
    }
    if (m_watcher.joinable()) {
        m_watcher.join();
    }
    // Handlers may wait for either.
    m_faults.stop();
    m_batch.stop();
    m_server.reset();
}

std::string model_engine::url() const
{
    return "http://127.0.0.1:" + std::to_string(port());
}

http_reply model_engine::handle(const http_request &request)
{
    if (request.path == "/standin/faults" && request.method == "POST") {
        const std::string problem = m_faults.apply(request.body);
        return problem.empty() ? jsonTextReply(200, "{}") : errorReply(statusBadRequest, problem);
    }
    if (request.path == "/standin/stats") {
        return stats();
    }
    m_batch.waitWhileFallenOver();
    if (request.path == "/v1/chat/completions" && request.method == "POST") {
        return complete(request, true);
    }
    if (request.path == "/v1/completions" && request.method == "POST") {
        return complete(request, false);
    }
    if (request.path == "/v1/models") {
        return jsonTextReply(200, R"({"object":"list","data":[{"id":")" + m_options.model + R"(","object":"model"}]})");
    }
    if (request.path == "/health") {
        return {200, {}, "", nullptr};
    }
    if (request.path == "/metrics") {
        return metrics();
    }
    return errorReply(statusNotFound, "no such path: " + request.path);
}

http_reply model_engine::complete(const http_request &request, bool chat)
{
    std::string problem;
    const auto parsed = completion_request::parse(chat, request.body, m_options.maximumTokens, problem);
    if (!parsed) {
        return errorReply(statusBadRequest, problem);
    }
    {
        const std::scoped_lock lock(m_mutex);
        ++m_runs[findHeader(request.headers, "X-Request-Id").value_or("")];
        if (m_order.size() < longestOrder) {
            m_order.push_back({{"prompt", parsed->prompt}, {"priority", parsed->priority}});
        }
    }
    auto sequence = std::make_shared<engine_sequence>();
    sequence->prompt = parsed->prompt;
    sequence->peer = request.peer;
    sequence->first = parsed->firstToken;
    sequence->last = parsed->lastToken;
    sequence->priority = parsed->priority;
    const completion_format format(*parsed, m_options.model, ++m_number);
    m_batch.add(sequence);
    m_faults.waitWhile(&fault_settings::neverAnswer); // Not even the head is sent.
    const auto source = std::make_shared<completion_source>(*parsed, format, sequence, m_batch, m_faults);
    return {200, {{"Content-Type", parsed->stream ? "text/event-stream" : "application/json"}}, {}, source};
}

http_reply model_engine::metrics()
{
    const engine_batch_stats lagged = m_batch.laggedStats();
    const std::string labels = R"({model_name=")" + m_options.model + "\"}";
    std::string page = sample("vllm:num_requests_running", labels, static_cast<double>(lagged.running));
    page += sample("vllm:num_requests_waiting", labels, static_cast<double>(lagged.waiting));
    page += sample("vllm:gpu_cache_usage_perc", labels, lagged.cacheUsage);
    page += "# TYPE vllm:time_per_output_token_seconds histogram\n";
    page += "vllm:time_per_output_token_seconds_sum" + labels + " " + std::to_string(lagged.tokenSeconds) + "\n";
    page += "vllm:time_per_output_token_seconds_count" + labels + " " + std::to_string(lagged.tokens) + "\n";
    page += "# TYPE process_start_time_seconds gauge\nprocess_start_time_seconds " + m_startTime + "\n";
    return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, page, nullptr};
}

http_reply model_engine::stats()
{
    const engine_batch_stats now = m_batch.stats();
    nlohmann::json object {{"started", now.started},
                           {"completed", now.completed},
                           {"cancelled", now.cancelled},
                           {"tokens", now.tokens},
                           {"steps", now.steps},
                           {"fall_overs", now.fallOvers},
                           {"cached_prompts", now.cachedPrompts},
                           {"running", now.running},
                           {"waiting", now.waiting},
                           {"peak_concurrency", now.peak},
                           {"peak_while_cold", now.peakWhileCold},
                           {"cold", now.cold}};
    const std::scoped_lock lock(m_mutex);
    object["requests"] = m_runs;
    object["order"] = m_order;
    return jsonTextReply(200, object.dump());
}

void model_engine::watchClients()
{
    // A write shows that a client has left only when there is something to write, which a waiting or stalled sequence
    // does not have.
    std::unique_lock lock(m_mutex);
    while (!m_stopping.wait_for(lock, watchInterval, [this] { return m_stopped; })) {
        lock.unlock();
        const auto sequences = m_batch.sequences();
        if (!sequences.empty()) {
            const auto peers = connectedPeers(port());
            std::ranges::for_each(sequences, [&](const auto &sequence) {
                if (!peers.contains(sequence->peer)) {
                    m_batch.cancel(sequence);
                }
            });
        }
        lock.lock();
    }
}

} // namespace bronzechute::standins
