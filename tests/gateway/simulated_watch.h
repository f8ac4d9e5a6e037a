#pragma once

#include "gateway/store_relay.h"
#include "simulated_fleet.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bronzechute {

/** A store in simulated time whose n-th revision is its n-th change. */
struct simulated_store
{
    std::int64_t revisionAt(time_point at) const;

    std::vector<time_point> changedAt; ///< In ascending order.
    std::set<std::int64_t> large; ///< Revisions whose value is larger than a message may be.
    bool isDown = false;
    std::set<std::string> refused; ///< Hosts that it turns away.
    std::set<std::string> silent; ///< Hosts whose requests it leaves without an answer.
    std::chrono::milliseconds delay {0}; ///< Of each answer.
    int calls = 0;
};

/** Watches a simulated_store as platform::kv_watch does, through the relay of a gateway. */
class simulated_watch
{
public:
    /** Called at each tick of the gateway. @param relays whether the gateway's version can rely on another one */
    void step(simulated_gateway &gateway, simulated_store &store, time_point now, bool relays);

    const store_relay &relay() const
    {
        return *m_relay;
    }

    std::vector<time_point> learnedAt; ///< By revision.
    int wrong = 0; ///< Changes that were missing or came again.

private:
    struct request
    {
        time_point askedAt {};
        boot_clock::duration wait {};
    };

    void start(simulated_gateway &gateway, simulated_store &store, time_point now, bool relays);
    void apply(const store_changes &changes, time_point now);
    /** @returns whether the request is still waiting. */
    bool readAnswer(const std::string &host, const simulated_store &store, time_point now);
    void fail(time_point now);

    std::unique_ptr<store_relay> m_relay;
    std::uint64_t m_generation = 0;
    std::int64_t m_revision = 0;
    std::optional<request> m_request;
    time_point m_notBefore {};
    time_point m_retryAt {}; ///< Unless another gateway is answered before.
    bool m_reachable = true;
    time_point m_settledAt {};
    bool m_followed = false;
};

} // namespace bronzechute
