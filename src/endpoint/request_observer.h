#pragma once

#include "policy/answer_sample.h"
#include "wire/attempt_id.h"

namespace bronzechute {

/** Learns when a running request has ended at the engine. Called without any lock held. */
class request_observer
{
public:
    virtual ~request_observer() = default;
    virtual void onRequestEnded(const attempt_id &id, const answer_sample &sample) = 0;
};

} // namespace bronzechute
