#pragma once

#include "base/result.h"
#include "gateway/endpoint_connection.h"
#include "gateway/gateway_endpoint.h"
#include "gateway/response_observer.h"
#include "http/http_client.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace bronzechute {

/**
 * A short request that the gateway itself sends to an endpoint. It has no request id, so that a response with one is
 * taken for what it is: a second copy of the response to an earlier request of a caller on the same connection. Used
 * from the thread of the event loop.
 */
class endpoint_call : public response_observer, public std::enable_shared_from_this<endpoint_call>
{
public:
    using callback = std::function<void(result<http_answer>)>;

    /**
     * Sends the request on an idle connection to the endpoint, or on a new one.
     * @param idField name of the header field in which endpoints echo the id of a caller's request
     * @param done called exactly once, with errc::unavailable if nothing was sent, errc::outcome_unknown if no complete
     *             response arrived within the timeout, or errc::too_large if the response exceeds the limit
     */
    static void start(boost::asio::io_context &loop, const gateway_endpoint_ptr &endpoint, const std::string &idField,
                      const std::string &method, const std::string &target, header_list headers, std::string body,
                      std::chrono::milliseconds timeout, callback done);

    void onHead(response_head head) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;
    void onFailure(const exchange_failure &failure) override;

    bool wantsMore() const override
    {
        return true;
    }

    endpoint_call(boost::asio::io_context &loop, gateway_endpoint_ptr endpoint, std::string idField, std::string step,
                  callback done);

private:
    void finish(result<http_answer> outcome);

    boost::asio::steady_timer m_timer;
    const gateway_endpoint_ptr m_endpoint;
    const std::string m_idField;
    const std::string m_step;
    callback m_done;
    std::shared_ptr<endpoint_connection> m_connection;
    http_answer m_answer;
};

/** @returns a reusable idle connection to the endpoint, or a new one that is not connected yet. */
std::shared_ptr<endpoint_connection> acquireConnection(boost::asio::io_context &loop, gateway_endpoint &endpoint);

/** Puts the connection back into the pool of idle connections, or closes it if it cannot be reused. */
void releaseConnection(gateway_endpoint &endpoint, const std::shared_ptr<endpoint_connection> &channel);

} // namespace bronzechute
