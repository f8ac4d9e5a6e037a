#pragma once

#include "crowd_behaviour.h"

#include "base/socket_address.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

namespace bronzechute {

/**
 * Callers that all send at once, read nothing and stay connected. One that is closed connects again, as often as its
 * behaviour says. The destructor closes all connections.
 */
class caller_crowd
{
public:
    /** @param transport of the address: SOCK_STREAM, or SOCK_DGRAM, where the same bytes travel in datagrams */
    caller_crowd(const socket_address &address, const crowd_behaviour &behaviour, int transport);
    ~caller_crowd();
    caller_crowd(const caller_crowd &) = delete;
    caller_crowd &operator=(const caller_crowd &) = delete;

    /**
     * Sends until all callers have sent everything or nobody gets on any more.
     * @param watch called now and then meanwhile, and at the end
     */
    void press(const std::function<void()> &watch);

private:
    struct caller
    {
        int descriptor = -1; ///< -1: closed for good.
        std::size_t connections = 0; ///< Made so far.
        std::size_t sent = 0; ///< Bytes on the present connection.
    };

    void connect(caller &each) const;
    /** @returns whether the caller got on. */
    bool send(caller &each) const;
    std::size_t totalBytes() const;

    socket_address m_address;
    crowd_behaviour m_behaviour;
    int m_transport;
    std::vector<caller> m_callers;
};

} // namespace bronzechute
