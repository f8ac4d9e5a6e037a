#pragma once

#include <memory>

namespace bronzechute {

class caller_session;

/** Keeps the sessions of its connections until they are closed. Must outlive all work of the event loop. */
class session_owner
{
public:
    virtual ~session_owner() = default;

    /** The session has closed its connection and is not needed any more. */
    virtual void onSessionClosed(const std::shared_ptr<caller_session> &session) = 0;
};

} // namespace bronzechute
