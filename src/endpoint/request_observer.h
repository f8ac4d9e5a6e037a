#pragma once

#include "policy/answer_sample.h"
#include "wire/attempt_id.h"

namespace bronzechute {

/** Learns when a running request has ended at the engine. Called without any lock held. */
class request_observer
{
public:
    virtual ~request_observer() = default;

    /** @param mayHaveRun false when the engine is known not to have had the request */
    virtual void onRequestEnded(const attempt_id &id, const answer_sample &sample, bool mayHaveRun) = 0;
};

} // namespace bronzechute
