#include "gateway/session_response.h"

#include "gateway/caller_session.h"
#include "observe/log.h"

namespace bronzechute {

session_response::session_response(const std::shared_ptr<caller_session> &session, std::uint64_t request)
    : m_session(session), m_request(request)
{
}

std::shared_ptr<caller_session> session_response::servingSession() const
{
    auto session = m_session.lock();
    return session != nullptr && session->isServing(m_request) ? session : nullptr;
}

std::shared_ptr<caller_session> session_response::advance(const char *call, progress from, progress to)
{
    if (m_progress == from) {
        m_progress = to;
        return servingSession();
    }
    logLine(log_level::error, "gateway", "call on a response in the wrong state was ignored",
            {{"call", call}, {"ended", m_progress == progress::ended}});
    abort();
    return nullptr;
}

void session_response::respond(const response_head &head, std::string_view body)
{
    if (const auto session = advance("respond", progress::no_head, progress::ended)) {
        session->writeWhole(head, body);
    }
}

void session_response::begin(const response_head &head)
{
    if (const auto session = advance("begin", progress::no_head, progress::in_body)) {
        session->writeStreamHead(head);
    }
}

void session_response::send(std::string_view bytes)
{
    if (const auto session = advance("send", progress::in_body, progress::in_body)) {
        session->writeStreamPart(bytes);
    }
}

void session_response::finish()
{
    if (const auto session = advance("finish", progress::in_body, progress::ended)) {
        session->writeStreamEnd();
    }
}

void session_response::abort()
{
    if (m_progress == progress::ended) {
        return;
    }
    m_progress = progress::ended;
    if (const auto session = servingSession()) {
        session->close();
    }
}

std::size_t session_response::unsentBytes() const
{
    const auto session = servingSession();
    return session == nullptr ? 0 : session->unsentBytes();
}

} // namespace bronzechute
