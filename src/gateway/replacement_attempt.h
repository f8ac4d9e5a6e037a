#pragma once

#include "gateway/endpoint_connection.h"
#include "gateway/gateway_endpoint.h"
#include "gateway/replacement_observer.h"
#include "gateway/response_observer.h"

#include <memory>
#include <string>

namespace bronzechute {

/**
 * A request that is sent to a second endpoint while the first one is silent. Until the second endpoint begins to
 * respond, the first one may still go on, so that its attempt is given up no sooner. Used from the thread of the event
 * loop.
 */
class replacement_attempt : public response_observer, public std::enable_shared_from_this<replacement_attempt>
{
public:
    /** @param endpoint whose slot the request occupies */
    replacement_attempt(boost::asio::io_context &loop, gateway_endpoint_ptr endpoint,
                        std::weak_ptr<replacement_observer> observer, time_point startedAt);

    /** Sends the request; the connection holds this object until the endpoint responds. */
    void start(std::string head, std::shared_ptr<const std::string> body);

    void onHead(response_head head) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;
    void onFailure(const exchange_failure &failure) override;

    bool wantsMore() const override
    {
        return true;
    }

    bool maySend() const override;

    const gateway_endpoint_ptr &endpoint() const
    {
        return m_endpoint;
    }

    /** @returns the connection, which another observer may take over. */
    const std::shared_ptr<endpoint_connection> &connection() const
    {
        return m_connection;
    }

    time_point startedAt() const
    {
        return m_startedAt;
    }

private:
    const gateway_endpoint_ptr m_endpoint;
    const std::weak_ptr<replacement_observer> m_observer;
    const time_point m_startedAt;
    const std::shared_ptr<endpoint_connection> m_connection;
};

} // namespace bronzechute
