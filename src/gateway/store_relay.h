#pragma once

#include "base/ranked_mutex.h"
#include "gateway/relay_announcer.h"
#include "gateway/relay_follower.h"
#include "store/watch_relay.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** Part of a gateway in watching the store. */
enum class relay_part {
    alone, ///< Reads for itself; there are few gateways.
    member, ///< Relies on the hub of its data centre.
    watcher, ///< Is that hub, and reads for the others.
};

/** Numbers of a store_relay since its construction. */
struct store_relay_counts
{
    std::uint64_t ownReads = 0; ///< Answers of the store to this gateway's own watch.
    std::uint64_t relayed = 0; ///< Messages with changes that were taken over from another gateway.
    std::uint64_t gaps = 0; ///< Times that changes were missing, so that the gateway read the store once.
    std::uint64_t losses = 0; ///< Times that there was no other gateway to rely on any more.
    bool isFollowing = false; ///< Whether another gateway watches the store for this one.

    friend bool operator==(const store_relay_counts &, const store_relay_counts &) = default;
};

/**
 * Lets the hub of a data centre watch the platform's store for the other gateways of it, see
 * docs/design/store-relay.md. The watch calls the functions of watch_relay, exchange_node the others, which carries the
 * messages. Thread-safe.
 */
class store_relay : public watch_relay
{
public:
    /** @param incarnation random id of the process */
    explicit store_relay(std::uint64_t incarnation);

    /** Sets what is called, from any thread, when there is something to send at once. */
    void setWake(std::function<void()> wake);

    std::optional<store_changes> await(std::int64_t revision, bool recovering, time_point until) override;
    void awaitRetry(std::chrono::milliseconds least) override;
    std::optional<std::chrono::milliseconds> readWait() const override;
    void onRead(const store_changes &changes, time_point knownAt, bool settled) override;
    void onOutage() override;
    void close() override;

    /** await() without blocking: no changes if there is nothing new. */
    std::optional<store_changes> next(std::int64_t revision, bool recovering, time_point now);

    /** @returns when to repeat a failed request at the latest; isAnswered() may be a reason to do it earlier. */
    time_point retryAt(std::chrono::milliseconds least, time_point now);

    /** @returns whether the store answers another gateway that this one can rely on after an outage of its own. */
    bool isAnswered(time_point now) const;

    /** Called at each tick of the exchange. */
    void setPart(relay_part part, time_point now);

    void hear(const std::string &host, const store_message &message, time_point now);

    /** The watcher of another data centre has read all changes up to a revision; 0 if the store does not answer it. */
    void hearOther(std::int64_t revision, time_point now);

    /** @returns the revision up to which this gateway has read all changes for others; 0 if it has not. */
    std::int64_t watchedRevision(time_point now) const;

    /** @returns the messages for the gateways that rely on this one. */
    std::vector<store_message> takeDue(time_point now);

    store_relay_counts counts() const;

private:
    std::optional<store_changes> nextLocked(std::int64_t revision, bool recovering, time_point now);
    static void logChange(bool isRelayed, relay_part part, const char *cause, std::int64_t revision);

    mutable ranked_mutex m_mutex {lock_rank::leaf};
    std::condition_variable_any m_changed;
    std::function<void()> m_wake;
    relay_part m_part = relay_part::alone;
    bool m_closed = false;
    relay_announcer m_announcer;
    relay_follower m_follower;
    store_relay_counts m_counts;
    std::int64_t m_heardRevision = 0; ///< The highest one that another gateway named.
    bool m_reportedRelayed = false; ///< As the log says.
};

} // namespace bronzechute
