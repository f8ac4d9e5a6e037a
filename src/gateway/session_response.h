#pragma once

#include "gateway/caller_response.h"

#include <cstdint>
#include <memory>

namespace bronzechute {

class caller_session;

/**
 * The response to one request on a caller_session. It has at most one head and one end, whatever its user calls: a call
 * after the end has no effect, and a head after the first one closes the connection instead of appearing in the body.
 * A call has no effect either once the session has closed or serves another request.
 */
class session_response : public caller_response
{
public:
    /** @param request number of the request on the session */
    session_response(const std::shared_ptr<caller_session> &session, std::uint64_t request);

    void respond(const response_head &head, std::string_view body) override;
    void begin(const response_head &head) override;
    void send(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t unsentBytes() const override;

private:
    enum class progress {
        no_head,
        in_body,
        ended,
    };

    /** @returns the session while it serves the request, or null. */
    std::shared_ptr<caller_session> servingSession() const;

    /**
     * Changes the progress from one state to another. In any other state, the call was a fault of the caller: it is
     * logged, and a response that has not ended is aborted.
     * @returns the session if bytes may be written to it, or null
     */
    std::shared_ptr<caller_session> advance(const char *call, progress from, progress to);

    const std::weak_ptr<caller_session> m_session;
    const std::uint64_t m_request;
    progress m_progress = progress::no_head;
};

} // namespace bronzechute
