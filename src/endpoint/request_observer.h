#pragma once

#include "policy/answer_sample.h"
#include "wire/attempt_id.h"

namespace bronzechute {

/** Is notified when a running request ends at the engine. Called without any lock held. */
class request_observer
{
public:
    virtual ~request_observer() = default;

    /** @param mayHaveRun false when the engine certainly did not receive the request */
    virtual void onRequestEnded(const attempt_id &id, const answer_sample &sample, bool mayHaveRun) = 0;
};

} // namespace bronzechute
