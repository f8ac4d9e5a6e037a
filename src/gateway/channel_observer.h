#pragma once

#include "gateway/answer_head.h"
#include "gateway/channel_failure.h"

#include <string_view>

namespace bronzechute {

/** Is told of the answer to a request that was sent on an endpoint_channel. */
class channel_observer
{
public:
    virtual ~channel_observer() = default;

    virtual void onHead(answer_head head) = 0;
    virtual void onBody(std::string_view bytes) = 0;

    /** The answer is whole. The channel may be used again. */
    virtual void onComplete() = 0;

    virtual void onFailure(const channel_failure &failure) = 0;

    /** @returns whether further parts of the body can be taken now; if not, resume() has to be called later. */
    virtual bool wantsMore() const = 0;
};

} // namespace bronzechute
