#include "gateway/endpoint_call.h"

#include "gateway/message_head.h"

namespace bronzechute {

namespace {

constexpr std::size_t answerLimitBytes = std::size_t {4} * 1024 * 1024;

} // namespace

std::shared_ptr<endpoint_connection> acquireConnection(boost::asio::io_context &loop, gateway_endpoint &endpoint)
{
    const time_point now = boot_clock::now();
    while (!endpoint.idleConnections.empty()) {
        auto channel = std::move(endpoint.idleConnections.back());
        endpoint.idleConnections.pop_back();
        if (channel->reusable(now)) {
            return channel;
        }
        channel->cancel();
    }
    return std::make_shared<endpoint_connection>(loop, endpoint.record.address);
}

void releaseConnection(gateway_endpoint &endpoint, const std::shared_ptr<endpoint_connection> &channel)
{
    if (endpoint.listed && channel->reusable(boot_clock::now())) {
        endpoint.idleConnections.push_back(channel);
    } else {
        channel->cancel();
    }
}

void endpoint_call::start(boost::asio::io_context &loop, const gateway_endpoint_ptr &endpoint,
                          const std::string &idField, const std::string &method, const std::string &target,
                          header_list headers, std::string body, std::chrono::milliseconds timeout, callback done)
{
    const auto call = std::make_shared<endpoint_call>(loop, endpoint, idField, method + " " + target, std::move(done));
    headers.emplace_back("Host", endpoint->record.address);
    if (!body.empty()) {
        headers.emplace_back("Content-Type", "application/json");
        headers.emplace_back("Content-Length", std::to_string(body.size()));
    }
    call->m_timer.expires_after(timeout);
    call->m_timer.async_wait([call](const boost::system::error_code &code) {
        if (!code && call->m_connection != nullptr) {
            call->m_connection->cancel();
            call->finish(error {errc::outcome_unknown, call->m_step, call->m_endpoint->record.address,
                                "no response within the timeout"});
        }
    });
    call->m_connection = acquireConnection(loop, *endpoint);
    call->m_connection->start(formatRequestHead(method, target, headers),
                              std::make_shared<const std::string>(std::move(body)), call);
}

endpoint_call::endpoint_call(boost::asio::io_context &loop, gateway_endpoint_ptr endpoint, std::string idField,
                             std::string step, callback done)
    : m_timer(loop)
    , m_endpoint(std::move(endpoint))
    , m_idField(std::move(idField))
    , m_step(std::move(step))
    , m_done(std::move(done))
{
}

void endpoint_call::onHead(response_head head)
{
    if (findHeader(head.headers, m_idField)) {
        m_connection->cancel();
        finish(error {errc::outcome_unknown, m_step, m_endpoint->record.address, "response to another request"});
        return;
    }
    m_answer.status = head.status;
    m_answer.headers = std::move(head.headers);
}

void endpoint_call::onBody(std::string_view bytes)
{
    if (m_answer.body.size() + bytes.size() <= answerLimitBytes) {
        m_answer.body.append(bytes);
        return;
    }
    m_connection->cancel();
    finish(error {errc::too_large, m_step, m_endpoint->record.address, "response exceeds the size limit"});
}

void endpoint_call::onComplete()
{
    releaseConnection(*m_endpoint, m_connection);
    finish(std::move(m_answer));
}

void endpoint_call::onFailure(const exchange_failure &failure)
{
    finish(error {failure.sent ? errc::outcome_unknown : errc::unavailable, m_step, m_endpoint->record.address,
                  failure.step + ": " + failure.cause});
}

void endpoint_call::finish(result<http_answer> outcome)
{
    m_timer.cancel();
    m_connection = nullptr;
    const callback done = std::move(m_done);
    m_done = nullptr;
    if (done) {
        done(std::move(outcome));
    }
}

} // namespace bronzechute
