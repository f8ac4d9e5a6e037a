#pragma once

#include "base/ranked_mutex.h"

#include <opentracing/tracer.h>

#include <memory>
#include <random>
#include <string>

namespace bronzechute {

/**
 * OpenTracing tracer whose spans go to the log and whose contexts travel as W3C traceparent headers. OpenTelemetry's
 * C++ library is not packaged for Debian 12; OpenTracing is its nearest kin there.
 */
class log_tracer final : public opentracing::Tracer, public std::enable_shared_from_this<log_tracer>
{
public:
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
 * Starts a span below the one that a traceparent header names, or the root of a new trace when it is absent or
 * malformed.
 */
std::unique_ptr<opentracing::Span> startSpan(const opentracing::Tracer &tracer, const std::string &operation,
                                             const std::string &traceparent);

/** @returns the traceparent header that names the span; empty for a span of another tracer. */
std::string traceparentOf(const opentracing::Span &span);

} // namespace bronzechute
