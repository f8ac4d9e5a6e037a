#pragma once

#include "standins/raw_server.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace bronzechute::standins {

/** A request that a scripted_server has read. */
struct scripted_request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    /** @returns the value of a field, or nothing as an empty text. */
    std::string header(const std::string &lowerCaseName) const;
};

/** Stand-in for an HTTP server whose answers are written byte by byte, so that faults can be spelled out. */
class scripted_server
{
public:
    /** @returns whether the connection stays open for another request. */
    using handler = std::function<bool(const scripted_request &, raw_connection &)>;

    /** @param port on the loopback address; 0: the kernel chooses */
    explicit scripted_server(handler answer, std::uint16_t port = 0);

    /** @returns "127.0.0.1:PORT". */
    std::string address() const;

    /** @returns requests so far. */
    int requests() const
    {
        return m_requests;
    }

private:
    void serve(raw_connection &connection);

    const handler m_answer;
    std::atomic<int> m_requests {0};
    raw_server m_server;
};

} // namespace bronzechute::standins
