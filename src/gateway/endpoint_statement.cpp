#include "gateway/endpoint_statement.h"

#include "http/http_status.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace bronzechute {

namespace {

/** @returns the pause, or nothing unless the text is a finite number of seconds above 0. */
std::optional<std::chrono::milliseconds> parsePause(std::string_view text)
{
    double seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    const bool tooLarge = parsed.ec == std::errc::result_out_of_range && !text.starts_with('-');
    if (tooLarge) {
        return maxEndpointPause;
    }
    if (!whole || !std::isfinite(seconds) || seconds <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> longest = maxEndpointPause;
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(std::chrono::duration<double>(seconds), longest));
}

} // namespace

endpoint_statement readStatement(const response_head &head, const wire_headers &names)
{
    endpoint_statement statement;
    for (const auto &[name, value] : head.headers) {
        if (headerNamesEqual(name, names.leaving)) {
            statement.leaving = statement.leaving || value == "1";
        } else if (head.status == statusServiceUnavailable && headerNamesEqual(name, "Retry-After")) {
            const auto pause = parsePause(value);
            statement.ignoredPause = statement.ignoredPause || !pause;
            statement.pause = std::max(statement.pause, pause);
        }
    }
    return statement;
}

} // namespace bronzechute
