#pragma once

#include "base/result.h"
#include "gateway/channel_observer.h"
#include "gateway/endpoint_channel.h"
#include "gateway/gateway_endpoint.h"
#include "http/http_client.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace bronzechute {

/** A short request of the gateway's own to an endpoint. Used from the thread of the event loop. */
class endpoint_call : public channel_observer, public std::enable_shared_from_this<endpoint_call>
{
public:
    using callback = std::function<void(result<http_answer>)>;

    /**
     * Sends the request over an idle connection of the endpoint, or over a new one.
     * @param done is called once: errc::unavailable when nothing was sent, errc::outcome_unknown when no whole answer
     *             came within the time
     */
    static void start(boost::asio::io_context &loop, const gateway_endpoint_ptr &endpoint, const std::string &method,
                      const std::string &target, header_list headers, std::string body,
                      std::chrono::milliseconds timeout, callback done);

    void onHead(answer_head head) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;
    void onFailure(const channel_failure &failure) override;

    bool wantsMore() const override
    {
        return true;
    }

    endpoint_call(boost::asio::io_context &loop, gateway_endpoint_ptr endpoint, std::string step, callback done);

private:
    void finish(result<http_answer> outcome);

    boost::asio::steady_timer m_timer;
    const gateway_endpoint_ptr m_endpoint;
    const std::string m_step;
    callback m_done;
    std::shared_ptr<endpoint_channel> m_channel;
    http_answer m_answer;
};

/** @returns an idle connection of the endpoint that may be used again, or a new one that is not connected yet. */
std::shared_ptr<endpoint_channel> takeChannel(boost::asio::io_context &loop, gateway_endpoint &endpoint);

/** Keeps the connection for another request, or closes it. */
void returnChannel(gateway_endpoint &endpoint, const std::shared_ptr<endpoint_channel> &channel);

} // namespace bronzechute
