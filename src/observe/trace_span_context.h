#pragma once

#include "observe/trace_context.h"

#include <opentracing/span.h>

namespace bronzechute {

/** Adapts a trace_context to the OpenTracing interface. Baggage items are not supported. */
class trace_span_context final : public opentracing::SpanContext
{
public:
    explicit trace_span_context(const trace_context &context) : m_context(context)
    {
    }

    const trace_context &value() const
    {
        return m_context;
    }

    void ForeachBaggageItem(std::function<bool(const std::string &, const std::string &)>) const override
    {
    }

    std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override
    {
        return std::make_unique<trace_span_context>(m_context);
    }

    std::string ToTraceID() const noexcept override
    {
        return m_context.traceId();
    }

    std::string ToSpanID() const noexcept override
    {
        return m_context.spanId();
    }

private:
    const trace_context m_context;
};

} // namespace bronzechute
