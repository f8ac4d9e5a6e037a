#include "observe/log_span.h"

#include "observe/log.h"

#include <mutex>

namespace bronzechute {

namespace {

nlohmann::json toJson(const opentracing::Value &value)
{
    if (value.is<std::string>()) {
        return value.get<std::string>();
    }
    if (value.is<const char *>()) {
        return value.get<const char *>();
    }
    if (value.is<bool>()) {
        return value.get<bool>();
    }
    if (value.is<std::int64_t>()) {
        return value.get<std::int64_t>();
    }
    if (value.is<std::uint64_t>()) {
        return value.get<std::uint64_t>();
    }
    if (value.is<double>()) {
        return value.get<double>();
    }
    return nullptr;
}

} // namespace

log_span::log_span(std::shared_ptr<const opentracing::Tracer> tracer, std::string operation,
                   const trace_context &context, std::optional<std::uint64_t> parent, opentracing::SteadyTime startedAt)
    : m_tracer(std::move(tracer))
    , m_context(context)
    , m_parent(parent)
    , m_startedAt(startedAt)
    , m_operation(std::move(operation))
{
}

log_span::~log_span()
{
    FinishWithOptions({});
}

void log_span::FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept
{
    nlohmann::json line;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_finished) {
            return;
        }
        m_finished = true;
        line = m_tags;
        line["operation"] = m_operation;
    }
    if (!m_context.value().sampled || !logEnabled(log_level::info)) {
        return;
    }
    const bool hasEnd = options.finish_steady_timestamp != opentracing::SteadyTime();
    const auto endedAt = hasEnd ? options.finish_steady_timestamp : opentracing::SteadyClock::now();
    line["trace_id"] = m_context.value().traceId();
    line["span_id"] = m_context.value().spanId();
    if (m_parent) {
        trace_context parent = m_context.value();
        parent.span = *m_parent;
        line["parent_id"] = parent.spanId();
    }
    line["duration_us"] = std::chrono::duration_cast<std::chrono::microseconds>(endedAt - m_startedAt).count();
    logLine(log_level::info, "trace", "span", line);
}

void log_span::SetOperationName(opentracing::string_view name) noexcept
{
    const std::scoped_lock lock(m_mutex);
    m_operation = std::string(name);
}

void log_span::SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept
{
    const std::scoped_lock lock(m_mutex);
    m_tags[std::string(key)] = toJson(value);
}

void log_span::SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept
{
}

std::string log_span::BaggageItem(opentracing::string_view) const noexcept
{
    return {};
}

void log_span::Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept
{
    for (const auto &[key, value] : fields) {
        SetTag(key, value);
    }
}

void log_span::Log(opentracing::SystemTime,
                   std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept
{
    Log(fields);
}

void log_span::Log(opentracing::SystemTime,
                   const std::vector<std::pair<opentracing::string_view, opentracing::Value>> &fields) noexcept
{
    for (const auto &[key, value] : fields) {
        SetTag(key, value);
    }
}

} // namespace bronzechute
