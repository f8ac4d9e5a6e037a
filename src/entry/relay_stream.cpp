#include "entry/relay_stream.h"

#include <algorithm>
#include <cstring>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds readInterval {100};

} // namespace

relay_stream::relay_stream(request_context context, std::string collected,
                           std::function<void(request_context &, relay_end)> onFinished,
                           continue_function continueElsewhere)
    : m_context(std::move(context))
    , m_collected(std::move(collected))
    , m_onFinished(std::move(onFinished))
    , m_continueElsewhere(std::move(continueElsewhere))
{
    if (m_continueElsewhere) {
        const bool chat = m_context.request.path.starts_with("/v1/chat/");
        m_continuation = std::make_unique<stream_continuation>(chat, m_context.request.body);
    }
}

ssize_t relay_stream::read(char *buffer, std::size_t capacity)
{
    while (true) {
        if (!m_collected.empty()) {
            return giveCollected(buffer, capacity);
        }
        if (const ssize_t count = readOnce(buffer, capacity); count != 0) {
            return count;
        }
    }
}

ssize_t relay_stream::giveCollected(char *buffer, std::size_t capacity)
{
    const std::size_t count = std::min(capacity, m_collected.size());
    std::memcpy(buffer, m_collected.data(), count);
    m_collected.erase(0, count);
    return static_cast<ssize_t>(count);
}

ssize_t relay_stream::readOnce(char *buffer, std::size_t capacity)
{
    const std::size_t count = m_context.pending->read(buffer, capacity, readInterval);
    if (count > 0 && m_continuation == nullptr) {
        return static_cast<ssize_t>(count);
    }
    if (count > 0) {
        m_collected = m_continuation->feed({buffer, count});
        if (!m_continuation->broken()) {
            return 0;
        }
        m_collected.clear();
        m_end = relay_end::endpoint_failed;
        return broken;
    }
    if (m_context.pending->complete()) {
        return finishWhole(buffer, capacity);
    }
    if (m_context.clientLeft()) {
        return broken;
    }
    if (m_context.pending->broken()) {
        if (tryContinuation()) {
            return 0;
        }
        m_end = m_context.clientLeft() ? relay_end::caller_left : relay_end::endpoint_failed;
        return broken;
    }
    if (boot_clock::now() > m_context.deadline) {
        m_end = relay_end::deadline;
        return broken;
    }
    return 0;
}

ssize_t relay_stream::finishWhole(char *buffer, std::size_t capacity)
{
    if (m_continuation != nullptr) {
        m_collected = m_continuation->end();
        if (m_continuation->broken()) {
            m_end = relay_end::endpoint_failed;
            return broken;
        }
        if (!m_collected.empty()) {
            return giveCollected(buffer, capacity);
        }
    }
    m_end = relay_end::whole;
    return endOfBody;
}

bool relay_stream::tryContinuation()
{
    if (m_continuation == nullptr) {
        return false;
    }
    auto body = m_continuation->nextBody();
    if (!body || !m_continueElsewhere(m_context, std::move(*body))) {
        return false;
    }
    m_continuation->beginContinuation();
    return true;
}

void relay_stream::onClosed()
{
    if (m_end != relay_end::whole) {
        m_context.pending->cancel();
    }
    m_onFinished(m_context, m_end);
}

} // namespace bronzechute
