#pragma once

#include "base/ranked_mutex.h"
#include "base/result.h"
#include "http/http_server.h"
#include "standins/forwarded_connection.h"
#include "standins/forwarder_options.h"
#include "standins/forwarder_settings.h"

#include <list>
#include <memory>
#include <string>
#include <thread>

namespace bronzechute::standins {

/**
 * Forwards TCP connections to a loopback port and shows faults of the network. One thread.
 *
 * POST /standin/faults takes a JSON object: "silence_open": true makes all open connections silent for good;
 * "silent_after_bytes": N does so after N further bytes, for the open connections and for the next
 * "next_connections": K; "cut_open": true closes all open connections; "delay_ms", "refuse_new", "silence_new",
 * "pause_up" and "pause_down" (bytes from and to clients) hold until they are set again; "frames": [{"type": T,
 * "action": A, "skip": S, "times": N, "delay_ms": D}, …] replaces the rules for frames (frame_rule.h) of a forwarder
 * that was started for frames. GET /standin/stats shows counts.
 */
class forwarder : public http_handler
{
public:
    static result<std::unique_ptr<forwarder>> start(const forwarder_options &options);

    ~forwarder() override;

    std::uint16_t port() const
    {
        return m_port;
    }

    std::uint16_t controlPort() const
    {
        return m_control->port();
    }

    /** As POST /standin/faults. @returns an empty text, or what is wrong with the JSON. */
    std::string apply(const std::string &json);

    http_reply handle(const http_request &request) override;

private:
    forwarder() = default;

    result<void> listenOn(std::uint16_t port);
    void run();
    void acceptOne();
    int connectToTarget() const;
    void wake() const;
    int waitMilliseconds(time_point now);
    std::string stats();

    std::uint16_t m_targetPort = 0;
    std::uint16_t m_port = 0;
    int m_listenSocket = -1;
    int m_wakeDescriptor = -1;
    ranked_mutex m_mutex {lock_rank::leaf};
    forwarder_settings m_settings;
    bool m_framed = false;
    frame_rules m_frameRules; ///< Used by the connections.
    std::list<forwarded_connection> m_connections;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_closedUp = 0; ///< Bytes of connections that are closed.
    std::uint64_t m_closedDown = 0;
    bool m_stopped = false;
    std::unique_ptr<http_server> m_control;
    std::thread m_thread;
};

} // namespace bronzechute::standins
