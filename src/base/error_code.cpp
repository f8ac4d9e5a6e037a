#include "base/error_code.h"

#include <string>

namespace bronzechute {

namespace {

class bronzechute_category final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "bronzechute";
    }

    std::string message(int value) const override
    {
        switch (static_cast<errc>(value)) {
        case errc::invalid_argument:
            return "invalid argument";
        case errc::not_found:
            return "not found";
        case errc::conflict:
            return "version conflict";
        case errc::unavailable:
            return "peer unavailable";
        case errc::timed_out:
            return "timed out";
        case errc::outcome_unknown:
            return "outcome unknown";
        case errc::protocol_violation:
            return "protocol violation";
        case errc::overloaded:
            return "overloaded";
        case errc::cancelled:
            return "cancelled";
        case errc::permission_denied:
            return "permission denied";
        case errc::too_large:
            return "too large";
        case errc::stale:
            return "stale";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &bronzechuteCategory() noexcept
{
    static const bronzechute_category category;
    return category;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), bronzechuteCategory()};
}

} // namespace bronzechute
