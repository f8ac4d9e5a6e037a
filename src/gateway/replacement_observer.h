#pragma once

#include "gateway/exchange_failure.h"
#include "gateway/response_head.h"

namespace bronzechute {

/** Learns how the endpoint of a replacement_attempt responds. At most one of the functions is called, once. */
class replacement_observer
{
public:
    virtual ~replacement_observer() = default;

    virtual void onReplacementHead(response_head head) = 0;
    virtual void onReplacementFailure(const exchange_failure &failure) = 0;
};

} // namespace bronzechute
