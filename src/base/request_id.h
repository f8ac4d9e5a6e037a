#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace bronzechute {

/**
 * Random 128-bit identifier of a client request.
 */
struct request_id
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const request_id &, const request_id &) =
        default; // NOLINT(modernize-use-nullptr): false finding in the generated comparison

    static request_id generate(std::mt19937_64 &random);

    /**
     * @param text 32 hexadecimal digits
     * @returns the identifier, or std::nullopt when the text is malformed
     */
    static std::optional<request_id> parse(std::string_view text);

    /**
     * @returns 32 lower-case hexadecimal digits.
     */
    std::string toString() const;
};

} // namespace bronzechute

template<>
struct std::hash<bronzechute::request_id>
{
    std::size_t operator()(const bronzechute::request_id &id) const noexcept
    {
        return static_cast<std::size_t>(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
    }
};
