#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace bronzechute {

/** Identity of a span in a trace, as W3C Trace Context (level 1) defines it. */
struct trace_context
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;
    bool sampled = true;

    friend bool operator==(const trace_context &, const trace_context &) = default;

    /** @returns the context of a traceparent header, or nothing when it is malformed. */
    static std::optional<trace_context> parse(std::string_view traceparent);

    /** @returns a new trace. */
    static trace_context generate(std::mt19937_64 &random);

    /** @returns the context of a child span in the same trace. */
    trace_context child(std::mt19937_64 &random) const;

    /** @returns the traceparent header, version 00. */
    std::string toTraceparent() const;

    /** @returns 32 hexadecimal digits. */
    std::string traceId() const;

    /** @returns 16 hexadecimal digits. */
    std::string spanId() const;
};

} // namespace bronzechute
