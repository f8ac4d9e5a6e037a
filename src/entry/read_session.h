#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzechute {

/**
 * The newest state of a plain service that a caller has seen. A caller may send it in the header
 * X-Bronzechute-Session, so that no entry answers its reads with an older state.
 */
struct read_session
{
    std::string endpoint; ///< The endpoint that returned this state.
    std::int64_t version = 0; ///< From the service's X-Version header.

    friend bool operator==(const read_session &, const read_session &) = default;

    /** Parses a header value of the form "ENDPOINT;v=VERSION". @returns nothing when it is malformed. */
    static std::optional<read_session> parse(std::string_view header);

    /** @returns the header value in the form that parse() reads. */
    std::string toHeader() const;
};

} // namespace bronzechute
