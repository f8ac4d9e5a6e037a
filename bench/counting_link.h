#pragma once

#include "link/link.h"
#include "wire/frame_codec.h"

#include <string>

namespace bronzechute::bench {

/** A link that encodes each frame, counts its bytes and drops it. */
class counting_link : public link
{
public:
    explicit counting_link(const std::string &node)
    {
        m_peer.node = node;
        m_peer.incarnation = 1;
        m_peer.role = "endpoint";
    }

    const hello_frame &peer() const override
    {
        return m_peer;
    }

    const std::string &address() const override
    {
        return m_address;
    }

    bool send(const frame &message) override
    {
        m_buffer.clear();
        encodeFrame(message, m_buffer);
        m_bytes += m_buffer.size();
        return true;
    }

    void close(const std::string &) override
    {
    }

    std::int64_t peerClockMs() const override
    {
        return 0;
    }

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    hello_frame m_peer;
    std::string m_address = "127.0.0.1:1";
    std::string m_buffer;
    std::size_t m_bytes = 0;
};

} // namespace bronzechute::bench
