#include "observe/trace_context.h"

#include <charconv>
#include <cstdio>

namespace bronzechute {

namespace {

constexpr std::size_t traceparentLength = 55;
constexpr std::size_t hexDigitsPerWord = 16;

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string toHex(std::uint64_t value)
{
    char text[hexDigitsPerWord + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

} // namespace

std::optional<trace_context> trace_context::parse(std::string_view traceparent)
{
    // Format: version "00", trace id (32 digits), parent id (16 digits) and flags (2 digits), separated by "-".
    if (traceparent.size() != traceparentLength || traceparent.substr(0, 3) != "00-" || traceparent[35] != '-'
        || traceparent[52] != '-') {
        return std::nullopt;
    }
    const auto high = parseHex(traceparent.substr(3, hexDigitsPerWord));
    const auto low = parseHex(traceparent.substr(19, hexDigitsPerWord));
    const auto span = parseHex(traceparent.substr(36, hexDigitsPerWord));
    const auto flags = parseHex(traceparent.substr(53, 2));
    if (!high || !low || !span || !flags || (*high == 0 && *low == 0) || *span == 0) {
        return std::nullopt;
    }
    return trace_context {*high, *low, *span, (*flags & 1) != 0};
}

trace_context trace_context::generate(std::mt19937_64 &random)
{
    return {random(), random() | 1, random() | 1, true};
}

trace_context trace_context::child(std::mt19937_64 &random) const
{
    return {traceHigh, traceLow, random() | 1, sampled};
}

std::string trace_context::toTraceparent() const
{
    return "00-" + traceId() + "-" + spanId() + (sampled ? "-01" : "-00");
}

std::string trace_context::traceId() const
{
    return toHex(traceHigh) + toHex(traceLow);
}

std::string trace_context::spanId() const
{
    return toHex(span);
}

} // namespace bronzechute
