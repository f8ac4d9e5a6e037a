#include "gateway/endpoint_call.h"

#include "gateway/message_head.h"

namespace bronzechute {

namespace {

constexpr std::size_t answerLimit = std::size_t {4} * 1024 * 1024;

} // namespace

std::shared_ptr<endpoint_channel> takeChannel(boost::asio::io_context &loop, gateway_endpoint &endpoint)
{
    const time_point now = boot_clock::now();
    while (!endpoint.idleChannels.empty()) {
        auto channel = std::move(endpoint.idleChannels.back());
        endpoint.idleChannels.pop_back();
        if (channel->reusable(now)) {
            return channel;
        }
        channel->cancel();
    }
    return std::make_shared<endpoint_channel>(loop, endpoint.record.address);
}

void returnChannel(gateway_endpoint &endpoint, const std::shared_ptr<endpoint_channel> &channel)
{
    if (endpoint.listed && channel->reusable(boot_clock::now())) {
        endpoint.idleChannels.push_back(channel);
    } else {
        channel->cancel();
    }
}

void endpoint_call::start(boost::asio::io_context &loop, const gateway_endpoint_ptr &endpoint,
                          const std::string &method, const std::string &target, header_list headers, std::string body,
                          std::chrono::milliseconds timeout, callback done)
{
    const auto call = std::make_shared<endpoint_call>(loop, endpoint, method + " " + target, std::move(done));
    headers.emplace_back("Host", endpoint->record.address);
    if (!body.empty()) {
        headers.emplace_back("Content-Type", "application/json");
        headers.emplace_back("Content-Length", std::to_string(body.size()));
    }
    call->m_timer.expires_after(timeout);
    call->m_timer.async_wait([call](const boost::system::error_code &code) {
        if (!code && call->m_channel != nullptr) {
            call->m_channel->cancel();
            call->finish(error {errc::outcome_unknown, call->m_step, call->m_endpoint->record.address, "no answer"});
        }
    });
    call->m_channel = takeChannel(loop, *endpoint);
    call->m_channel->start(formatRequestHead(method, target, headers),
                           std::make_shared<const std::string>(std::move(body)), call);
}

endpoint_call::endpoint_call(boost::asio::io_context &loop, gateway_endpoint_ptr endpoint, std::string step,
                             callback done)
    : m_timer(loop), m_endpoint(std::move(endpoint)), m_step(std::move(step)), m_done(std::move(done))
{
}

void endpoint_call::onHead(answer_head head)
{
    m_answer.status = head.status;
    m_answer.headers = std::move(head.headers);
}

void endpoint_call::onBody(std::string_view bytes)
{
    if (m_answer.body.size() + bytes.size() <= answerLimit) {
        m_answer.body.append(bytes);
        return;
    }
    m_channel->cancel();
    finish(error {errc::too_large, m_step, m_endpoint->record.address, "the answer exceeds the limit"});
}

void endpoint_call::onComplete()
{
    returnChannel(*m_endpoint, m_channel);
    finish(std::move(m_answer));
}

void endpoint_call::onFailure(const channel_failure &failure)
{
    finish(error {failure.sent ? errc::outcome_unknown : errc::unavailable, m_step, m_endpoint->record.address,
                  failure.step + ": " + failure.cause});
}

void endpoint_call::finish(result<http_answer> outcome)
{
    m_timer.cancel();
    m_channel = nullptr;
    const callback done = std::move(m_done);
    m_done = nullptr;
    if (done) {
        done(std::move(outcome));
    }
}

} // namespace bronzechute
