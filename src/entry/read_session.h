#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/**
 * The newest state of a plain service that a caller has seen. Callers may carry it in the header
 * X-Bronzechute-Session, so that any entry can keep their reads from showing an older state.
 */
struct read_session
{
    std::string endpoint; ///< That answered the newest state.
    std::int64_t version = 0; ///< From the service's X-Version header.

    friend bool operator==(const read_session &, const read_session &) = default;

    /** @returns the session of a header "ENDPOINT;v=VERSION", or nothing when it is malformed. */
    static std::optional<read_session> parse(std::string_view header);

    /** @returns the header's value. */
    std::string toHeader() const;
};

} // namespace bronzechute
