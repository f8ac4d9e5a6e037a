#include "balance/admission.h"

namespace bronzechute {

admission_decision admit(const line_state &line, const waiting_request &request, time_point now)
{
    admission_decision decision;
    decision.expectedWait = line.startInterval * static_cast<std::int64_t>(line.ahead + 1);
    // A caller that has come back has no further try: it waits for an endpoint that may work again.
    const bool mayStart = line.anyUsable || request.lastTry;
    decision.admitted = mayStart && now + decision.expectedWait <= request.giveUpAt;
    return decision;
}

} // namespace bronzechute
