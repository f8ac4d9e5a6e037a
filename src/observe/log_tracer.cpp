#include "observe/log_tracer.h"

#include "observe/log_span.h"
#include "observe/trace_span_context.h"

#include <istream>
#include <mutex>
#include <ostream>

namespace bronzechute {

namespace {

constexpr const char *traceparentField = "traceparent";

/** @returns the traceparent field of a carrier, or an empty string when it has none. */
std::string readTraceparent(const opentracing::TextMapReader &reader)
{
    std::string found;
    reader.ForeachKey([&found](opentracing::string_view key, opentracing::string_view value) {
        if (key == traceparentField) {
            found = std::string(value);
        }
        return opentracing::expected<void>();
    });
    return found;
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> parseContext(const std::string &traceparent)
{
    const auto context = trace_context::parse(traceparent);
    if (!context) {
        return std::unique_ptr<opentracing::SpanContext>();
    }
    return std::unique_ptr<opentracing::SpanContext>(std::make_unique<trace_span_context>(*context));
}

std::string formatTraceparent(const opentracing::SpanContext &context)
{
    const auto *traceContext = dynamic_cast<const trace_span_context *>(&context);
    return traceContext == nullptr ? std::string() : traceContext->value().toTraceparent();
}

} // namespace

log_tracer::log_tracer(std::uint64_t seed) : m_random(seed)
{
}

std::unique_ptr<opentracing::Span>
log_tracer::StartSpanWithOptions(opentracing::string_view operation,
                                 const opentracing::StartSpanOptions &options) const noexcept
{
    const trace_span_context *parent = nullptr;
    for (const auto &reference : options.references) {
        if (const auto *traceContext = dynamic_cast<const trace_span_context *>(reference.second)) {
            parent = traceContext;
        }
    }
    trace_context context;
    {
        const std::scoped_lock lock(m_mutex);
        context = parent == nullptr ? trace_context::generate(m_random) : parent->value().child(m_random);
    }
    const bool hasStart = options.start_steady_timestamp != opentracing::SteadyTime();
    const auto startedAt = hasStart ? options.start_steady_timestamp : opentracing::SteadyClock::now();
    auto span = std::make_unique<log_span>(
        shared_from_this(), std::string(operation), context,
        parent == nullptr ? std::nullopt : std::optional<std::uint64_t>(parent->value().span), startedAt);
    for (const auto &[key, value] : options.tags) {
        span->SetTag(key, value);
    }
    return span;
}

opentracing::expected<void> log_tracer::Inject(const opentracing::SpanContext &context, std::ostream &writer) const
{
    writer << formatTraceparent(context);
    return {};
}

opentracing::expected<void> log_tracer::Inject(const opentracing::SpanContext &context,
                                               const opentracing::TextMapWriter &writer) const
{
    return writer.Set(traceparentField, formatTraceparent(context));
}

opentracing::expected<void> log_tracer::Inject(const opentracing::SpanContext &context,
                                               const opentracing::HTTPHeadersWriter &writer) const
{
    return writer.Set(traceparentField, formatTraceparent(context));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> log_tracer::Extract(std::istream &reader) const
{
    std::string traceparent;
    std::getline(reader, traceparent);
    return parseContext(traceparent);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
log_tracer::Extract(const opentracing::TextMapReader &reader) const
{
    return parseContext(readTraceparent(reader));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
log_tracer::Extract(const opentracing::HTTPHeadersReader &reader) const
{
    return parseContext(readTraceparent(reader));
}

std::unique_ptr<opentracing::Span> startSpan(const opentracing::Tracer &tracer, const std::string &operation,
                                             const std::string &traceparent)
{
    const auto parent = trace_context::parse(traceparent);
    if (!parent) {
        return tracer.StartSpan(operation);
    }
    const trace_span_context context(*parent);
    return tracer.StartSpan(operation, {opentracing::ChildOf(&context)});
}

std::string traceparentOf(const opentracing::Span &span)
{
    return formatTraceparent(span.context());
}

} // namespace bronzechute
