#include "entry/relay_stream.h"

#include <algorithm>
#include <cstring>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds readInterval {100};

} // namespace

relay_stream::relay_stream(request_context context, std::string collected,
                           std::function<void(request_context &, relay_end)> onFinished)
    : m_context(std::move(context)), m_collected(std::move(collected)), m_onFinished(std::move(onFinished))
{
}

ssize_t relay_stream::read(char *buffer, std::size_t capacity)
{
    if (!m_collected.empty()) {
        const std::size_t count = std::min(capacity, m_collected.size());
        std::memcpy(buffer, m_collected.data(), count);
        m_collected.erase(0, count);
        return static_cast<ssize_t>(count);
    }
    while (true) {
        const std::size_t count = m_context.pending->read(buffer, capacity, readInterval);
        if (count > 0) {
            return static_cast<ssize_t>(count);
        }
        if (m_context.pending->complete()) {
            m_end = relay_end::whole;
            return endOfBody;
        }
        if (m_context.clientLeft()) {
            return broken;
        }
        if (m_context.pending->broken()) {
            m_end = relay_end::endpoint_failed;
            return broken;
        }
        if (boot_clock::now() > m_context.deadline) {
            m_end = relay_end::deadline;
            return broken;
        }
    }
}

void relay_stream::onClosed()
{
    if (m_end != relay_end::whole) {
        m_context.pending->cancel();
    }
    m_onFinished(m_context, m_end);
}

} // namespace bronzechute
