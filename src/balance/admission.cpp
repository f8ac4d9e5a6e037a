#include "balance/admission.h"

namespace bronzechute {

admission_decision admit(const line_state &line, const waiting_request &request, time_point now)
{
    admission_decision decision;
    decision.expectedWait = line.startInterval * static_cast<std::int64_t>(line.ahead + 1);
    decision.admitted = line.anyUsable && now + decision.expectedWait <= request.giveUpAt;
    return decision;
}

} // namespace bronzechute
