#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace bronzechute::standins {

/** One accepted connection of a raw_server. */
class raw_connection
{
public:
    explicit raw_connection(int descriptor) : m_descriptor(descriptor)
    {
    }

    /** @returns the next HTTP request, head and body of Content-Length bytes; empty when the peer closed. */
    std::string readRequest();

    /** @returns the head of the next HTTP request, and leaves its body unread; empty when the peer closed. */
    std::string readHead();

    /** @returns whether all bytes were sent. */
    bool send(std::string_view bytes);

    /** Ends the connection with a reset when it is closed. */
    void resetOnClose() const;

    /** Ends the sending direction, so that the peer reads the end of the connection. */
    void endSending() const;

    /** @returns whether the peer closes the connection within the time. */
    bool closesWithin(std::chrono::milliseconds time) const;

    /** Blocks until the peer closes the connection. */
    void waitForClose();

private:
    int m_descriptor;
    std::string m_buffer;
};

} // namespace bronzechute::standins
