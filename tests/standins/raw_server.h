#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bronzechute {

/** A request as it was read from a connection. */
struct raw_request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    /** @returns the value of a field, or nothing as an empty text. */
    std::string header(const std::string &lowerCaseName) const;
};

/** The connection that a request came on. Answers are written as they are given, so that faults can be spelled out. */
class raw_connection
{
public:
    explicit raw_connection(int descriptor) : m_descriptor(descriptor)
    {
    }

    /** @returns whether all bytes were written. */
    bool send(std::string_view bytes) const;

    /** Ends the connection with a reset. */
    void reset() const;

    /** @returns whether the peer closes the connection within the time. */
    bool closesWithin(std::chrono::milliseconds time) const;

private:
    const int m_descriptor;
};

/** Stand-in for an HTTP server whose answers are written byte by byte; each connection has a thread. */
class raw_server
{
public:
    /** @returns whether the connection stays open for another request. */
    using handler = std::function<bool(const raw_request &, const raw_connection &)>;

    explicit raw_server(handler answer);
    ~raw_server();
    raw_server(const raw_server &) = delete;
    raw_server &operator=(const raw_server &) = delete;

    /** @returns "127.0.0.1:PORT". */
    std::string address() const;

    /** @returns requests so far. */
    int requests() const
    {
        return m_requests;
    }

private:
    void accept();
    void serve(int descriptor);

    const handler m_answer;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests {0};
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::vector<std::thread> m_threads;
    bool m_stopping = false;
    std::thread m_acceptor;
};

} // namespace bronzechute
