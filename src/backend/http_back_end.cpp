#include "backend/http_back_end.h"

#include "backend/collecting_sink.h"
#include "backend/prometheus_page.h"
#include "http/http_status.h"

#include <utility>

namespace bronzechute {

namespace {

constexpr int maxPriority = 9;
constexpr std::size_t maxProbeBodyBytes = std::size_t {4} * 1024 * 1024;

/** Safe methods are idempotent by definition (RFC 9110, section 9.2.1). */
bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

std::string withoutTrailingSlash(std::string url)
{
    while (url.ends_with('/')) {
        url.pop_back();
    }
    return url;
}

http_back_end_options normalizedOptions(http_back_end_options options)
{
    options.baseUrl = withoutTrailingSlash(std::move(options.baseUrl));
    return options;
}

} // namespace

http_back_end::http_back_end(http_back_end_options options, std::shared_ptr<transfer_loop> loop)
    : m_options(normalizedOptions(std::move(options))), m_loop(std::move(loop))
{
}

std::shared_ptr<transfer> http_back_end::start(const back_end_request &request, std::shared_ptr<answer_sink> sink)
{
    transfer_request exchange;
    exchange.method = request.method;
    exchange.url = m_options.baseUrl + request.path;
    exchange.headers = request.headers;
    exchange.body = bodyWithPriority(request);
    exchange.idleTimeout = request.idleTimeout;
    exchange.deadline = request.deadline;
    exchange.mayRepeat = isSafeMethod(request.method);
    return m_loop->start(std::move(exchange), std::move(sink));
}

back_end_load http_back_end::probe()
{
    const bool engine = m_options.targetKind == http_back_end_options::kind::engine;
    transfer_request exchange;
    exchange.method = "GET";
    exchange.url = m_options.baseUrl + (engine ? m_options.metricsPath : m_options.healthPath);
    exchange.idleTimeout = m_options.probeTimeout;
    exchange.deadline = m_options.probeTimeout;
    exchange.mayRepeat = true;
    const auto sink = std::make_shared<collecting_sink>(maxProbeBodyBytes);
    const auto running = m_loop->start(std::move(exchange), sink);
    if (!sink->waitFor(m_options.probeTimeout)) {
        running->cancel();
        return {};
    }
    const collected_answer answer = sink->answer();
    back_end_load load;
    load.reachable = !answer.failure && answer.status == statusOk;
    if (!load.reachable || !engine) {
        return load;
    }
    const prometheus_page page(answer.body);
    load.startId = page.text("process_start_time_seconds").value_or("");
    load.running = page.sum("vllm:num_requests_running").value_or(0);
    load.waiting = page.sum("vllm:num_requests_waiting").value_or(0);
    // Newer engines report the cache usage as kv_cache_usage_perc.
    load.cacheUsage = page.sum("vllm:gpu_cache_usage_perc").value_or(page.sum("vllm:kv_cache_usage_perc").value_or(0));
    load.tokens = page.sum("vllm:time_per_output_token_seconds_count").value_or(0);
    if (load.tokens > 0) {
        load.meanTokenSeconds = page.sum("vllm:time_per_output_token_seconds_sum").value_or(0) / load.tokens;
    }
    return load;
}

std::string http_back_end::bodyWithPriority(const back_end_request &request) const
{
    const std::string &body = request.body;
    const std::size_t last = body.find_last_not_of(" \t\r\n");
    const std::size_t first = body.find_first_not_of(" \t\r\n");
    const bool isObject = first != std::string::npos && last > first && body[first] == '{' && body[last] == '}';
    if (m_options.targetKind != http_back_end_options::kind::engine || request.method != "POST" || !isObject) {
        return body;
    }
    // vLLM serves lower numbers first. The field is appended, because JSON parsers use the last of duplicate keys, and
    // the caller's own value must not override that of its traffic class.
    const bool empty = body.find_first_not_of(" \t\r\n", first + 1) == last;
    const std::string field = "\"priority\":" + std::to_string(maxPriority - request.priority);
    return body.substr(0, last) + (empty ? "" : ",") + field + body.substr(last);
}

} // namespace bronzechute
