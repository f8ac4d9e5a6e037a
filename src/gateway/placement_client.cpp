#include "gateway/placement_client.h"

namespace bronzechute {

const char *nameOf(refusal reason)
{
    switch (reason) {
    case refusal::no_endpoint:
        return "no_endpoint";
    case refusal::wait_too_long:
        return "line_too_long";
    case refusal::cannot_complete:
        return "cannot_complete";
    case refusal::shutting_down:
        return "shutting_down";
    case refusal::queue_timeout:
        return "waited_too_long";
    }
    return "";
}

} // namespace bronzechute
