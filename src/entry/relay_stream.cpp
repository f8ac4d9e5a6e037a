#include "entry/relay_stream.h"

#include <algorithm>
#include <cstring>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds relayPollInterval {100};

} // namespace

relay_stream::relay_stream(request_context context, std::string buffered,
                           std::function<void(request_context &, relay_end)> onFinished,
                           continue_function continueOnOtherEndpoint)
    : m_context(std::move(context))
    , m_buffered(std::move(buffered))
    , m_onFinished(std::move(onFinished))
    , m_continueOnOtherEndpoint(std::move(continueOnOtherEndpoint))
{
    if (m_continueOnOtherEndpoint) {
        const bool chat = m_context.request.path.starts_with("/v1/chat/");
        m_continuation = std::make_unique<stream_continuation>(chat, m_context.request.body);
    }
}

ssize_t relay_stream::read(char *buffer, std::size_t capacity)
{
    while (true) {
        if (!m_buffered.empty()) {
            return takeBuffered(buffer, capacity);
        }
        if (const ssize_t count = readOnce(buffer, capacity); count != 0) {
            return count;
        }
    }
}

ssize_t relay_stream::takeBuffered(char *buffer, std::size_t capacity)
{
    const std::size_t count = std::min(capacity, m_buffered.size());
    std::memcpy(buffer, m_buffered.data(), count);
    m_buffered.erase(0, count);
    return static_cast<ssize_t>(count);
}

ssize_t relay_stream::readOnce(char *buffer, std::size_t capacity)
{
    const std::size_t count = m_context.pending->read(buffer, capacity, relayPollInterval);
    if (count > 0 && m_continuation == nullptr) {
        return static_cast<ssize_t>(count);
    }
    if (count > 0) {
        m_buffered = m_continuation->feed({buffer, count});
        if (!m_continuation->broken()) {
            return 0;
        }
        m_buffered.clear();
        m_end = relay_end::endpoint_failed;
        return broken;
    }
    if (m_context.pending->complete()) {
        return finishComplete(buffer, capacity);
    }
    if (m_context.clientDisconnected()) {
        return broken;
    }
    if (m_context.pending->broken()) {
        if (tryContinuation()) {
            return 0;
        }
        m_end = m_context.clientDisconnected() ? relay_end::client_disconnected : relay_end::endpoint_failed;
        return broken;
    }
    if (boot_clock::now() > m_context.deadline) {
        m_end = relay_end::deadline;
        return broken;
    }
    return 0;
}

ssize_t relay_stream::finishComplete(char *buffer, std::size_t capacity)
{
    if (m_continuation != nullptr) {
        m_buffered = m_continuation->end();
        if (m_continuation->broken()) {
            m_end = relay_end::endpoint_failed;
            return broken;
        }
        if (!m_buffered.empty()) {
            return takeBuffered(buffer, capacity);
        }
    }
    m_end = relay_end::delivered;
    return endOfBody;
}

bool relay_stream::tryContinuation()
{
    if (m_continuation == nullptr) {
        return false;
    }
    auto body = m_continuation->continuationBody();
    if (!body || !m_continueOnOtherEndpoint(m_context, std::move(*body))) {
        return false;
    }
    m_continuation->beginContinuation();
    return true;
}

void relay_stream::onClosed()
{
    if (m_end != relay_end::delivered) {
        m_context.pending->cancel();
    }
    m_onFinished(m_context, m_end);
}

} // namespace bronzechute
