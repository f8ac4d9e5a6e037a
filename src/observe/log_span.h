#pragma once

#include "base/ranked_mutex.h"
#include "observe/trace_span_context.h"

#include <nlohmann/json.hpp>
#include <opentracing/tracer.h>

#include <memory>
#include <optional>
#include <string>

namespace bronzechute {

/** OpenTracing span that writes one log line with component "trace" when it finishes. */
class log_span final : public opentracing::Span
{
public:
    /** @param parent id of the parent span, or std::nullopt for the root span of a trace */
    log_span(std::shared_ptr<const opentracing::Tracer> tracer, std::string operation, const trace_context &context,
             std::optional<std::uint64_t> parent, opentracing::SteadyTime startedAt);
    ~log_span() override;

    void FinishWithOptions(const opentracing::FinishSpanOptions &options) noexcept override;
    void SetOperationName(opentracing::string_view name) noexcept override;
    void SetTag(opentracing::string_view key, const opentracing::Value &value) noexcept override;
    void SetBaggageItem(opentracing::string_view key, opentracing::string_view value) noexcept override;
    std::string BaggageItem(opentracing::string_view key) const noexcept override;
    void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override;

    void Log(opentracing::SystemTime at,
             std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override;
    void Log(opentracing::SystemTime at,
             const std::vector<std::pair<opentracing::string_view, opentracing::Value>> &fields) noexcept override;

    const opentracing::SpanContext &context() const noexcept override
    {
        return m_context;
    }

    const opentracing::Tracer &tracer() const noexcept override
    {
        return *m_tracer;
    }

private:
    const std::shared_ptr<const opentracing::Tracer> m_tracer;
    const trace_span_context m_context;
    const std::optional<std::uint64_t> m_parent;
    const opentracing::SteadyTime m_startedAt;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::string m_operation;
    nlohmann::json m_tags = nlohmann::json::object();
    bool m_finished = false;
};

} // namespace bronzechute
