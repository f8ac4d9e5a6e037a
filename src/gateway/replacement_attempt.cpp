#include "gateway/replacement_attempt.h"

#include "gateway/endpoint_call.h"
#include "gateway/endpoint_table.h"

namespace bronzechute {

replacement_attempt::replacement_attempt(boost::asio::io_context &loop, gateway_endpoint_ptr endpoint,
                                         std::weak_ptr<replacement_observer> observer, time_point startedAt)
    : m_endpoint(std::move(endpoint))
    , m_observer(std::move(observer))
    , m_startedAt(startedAt)
    , m_connection(acquireConnection(loop, *m_endpoint))
{
}

void replacement_attempt::start(std::string head, std::shared_ptr<const std::string> body)
{
    m_connection->start(std::move(head), std::move(body), shared_from_this());
}

void replacement_attempt::onHead(response_head head)
{
    if (const auto observer = m_observer.lock()) {
        observer->onReplacementHead(std::move(head));
    } else {
        m_connection->cancel();
    }
}

void replacement_attempt::onBody(std::string_view)
{
    // The observer has taken the connection over, or cancelled it, when the head came.
}

void replacement_attempt::onComplete()
{
}

void replacement_attempt::onFailure(const exchange_failure &failure)
{
    if (const auto observer = m_observer.lock()) {
        observer->onReplacementFailure(failure);
    }
}

bool replacement_attempt::maySend() const
{
    return endpoint_table::wantsRequests(*m_endpoint, boot_clock::now());
}

} // namespace bronzechute
