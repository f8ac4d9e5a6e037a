#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace bronzechute {

/** Identifies a span and its trace as defined by W3C Trace Context, level 1. */
struct trace_context
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    bool sampled = true;

    friend bool operator==(const trace_context &, const trace_context &) = default;

    /** @returns the context in a traceparent header, or std::nullopt when the header is malformed. */
    static std::optional<trace_context> parse(std::string_view traceparent);

    /** @returns the context of the root span of a new, sampled trace. */
    static trace_context generate(std::mt19937_64 &random);

    /** @returns the context of a child span in the same trace. */
    trace_context child(std::mt19937_64 &random) const;

    /** @returns the traceparent header, version 00. */
    std::string toTraceparent() const;

    /** @returns the trace id as 32 hexadecimal digits. */
    std::string traceId() const;

    /** @returns the span id as 16 hexadecimal digits. */
    std::string spanId() const;
};

} // namespace bronzechute
