#pragma once

#include "gateway/gateway_role.h"
#include "standins/scripted_server.h"

#include <memory>
#include <string>
#include <vector>

namespace bronzechute {

/** An answer as a caller read it. */
struct caller_answer
{
    int status = 0; ///< 0: the connection ended before a whole header block.
    std::string head;
    std::string body; ///< Without the framing of chunks.
    bool complete = false; ///< Whether the body came whole.

    /** @returns the value of a field, or nothing as an empty text. */
    std::string header(const std::string &lowerCaseName) const;
};

/** A gateway in this process with routes and endpoints that the test sets. */
class gateway_harness
{
public:
    explicit gateway_harness(std::chrono::milliseconds drainTimeout = std::chrono::milliseconds(3000));

    /** @returns the document that is put in force at the start: one route of each kind on host "example". */
    static routing_document usualDocument();

    void putInForce(const routing_document &document);
    void addEndpoint(const std::string &id, const std::string &address, const std::string &service = "service");
    void removeEndpoint(const std::string &id);

    /** Sends one request on a connection of its own and reads the answer. */
    caller_answer request(const std::string &method, const std::string &path, const std::string &headers = {},
                          const std::string &body = {});

    /** Sends bytes as they are. */
    caller_answer sendRaw(const std::string &bytes);

    /** Sends a request and closes the connection after the time, without reading. */
    void requestAndLeave(const std::string &path, std::chrono::milliseconds after);

    caller_answer askStatus(const std::string &path);

    gateway_role &role()
    {
        return *m_role;
    }

    /** Waits until everything that was reported so far has been taken over. */
    void settle();

private:
    int connectTo(const std::string &name);

    routing_observer *m_observer = nullptr;
    std::unique_ptr<gateway_role> m_role;
};

} // namespace bronzechute
