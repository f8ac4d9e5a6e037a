#pragma once

#include "base/ranked_mutex.h"

#include <opentracing/tracer.h>

#include <memory>
#include <random>
#include <string>

namespace bronzechute {

/**
 * OpenTracing tracer that writes spans to the log and propagates their contexts in W3C traceparent headers. OpenTracing
 * is used because Debian 12 does not package OpenTelemetry's C++ library.
 */
class log_tracer final : public opentracing::Tracer, public std::enable_shared_from_this<log_tracer>
{
public:
    /** @param seed seed of the generator of trace and span ids */
    explicit log_tracer(std::uint64_t seed);

    std::unique_ptr<opentracing::Span>
    StartSpanWithOptions(opentracing::string_view operation,
                         const opentracing::StartSpanOptions &options) const noexcept override;

    opentracing::expected<void> Inject(const opentracing::SpanContext &context, std::ostream &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::TextMapWriter &writer) const override;
    opentracing::expected<void> Inject(const opentracing::SpanContext &context,
                                       const opentracing::HTTPHeadersWriter &writer) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(std::istream &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::TextMapReader &reader) const override;
    opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
    Extract(const opentracing::HTTPHeadersReader &reader) const override;

private:
    mutable ranked_mutex m_mutex {lock_rank::leaf};
    mutable std::mt19937_64 m_random; ///< Guarded by m_mutex.
};

/**
 * Starts a child of the span identified by a traceparent header, or the root span of a new trace when the header is
 * absent or malformed.
 * @param traceparent value of the header; empty when absent
 */
std::unique_ptr<opentracing::Span> startSpan(const opentracing::Tracer &tracer, const std::string &operation,
                                             const std::string &traceparent);

/** @returns the traceparent header that identifies the span, or an empty string for a span of another tracer. */
std::string traceparentOf(const opentracing::Span &span);

} // namespace bronzechute
