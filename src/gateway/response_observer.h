#pragma once

#include "gateway/exchange_failure.h"
#include "gateway/response_head.h"

#include <string_view>

namespace bronzechute {

/** Receives the response to a request that was sent on an endpoint_connection. */
class response_observer
{
public:
    virtual ~response_observer() = default;

    virtual void onHead(response_head head) = 0;
    virtual void onBody(std::string_view bytes) = 0;

    /** The response is complete, and the connection may be reused. */
    virtual void onComplete() = 0;

    virtual void onFailure(const exchange_failure &failure) = 0;

    /** @returns whether more of the body can be accepted; if not, endpoint_connection::resume() must follow later. */
    virtual bool wantsMore() const = 0;

    /** @returns whether the request may still be sent; asked when a new connection is established. */
    virtual bool maySend() const
    {
        return true;
    }
};

} // namespace bronzechute
