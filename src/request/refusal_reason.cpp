#include "request/refusal_reason.h"

namespace bronzechute {

std::string_view toString(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::leaving:
        return "leaving";
    case refusal_reason::out_of_service:
        return "out_of_service";
    case refusal_reason::not_ready:
        return "not_ready";
    case refusal_reason::expired:
        return "expired";
    case refusal_reason::cancelled:
        return "cancelled";
    case refusal_reason::unreachable:
        return "unreachable";
    }
    return "unknown";
}

} // namespace bronzechute
