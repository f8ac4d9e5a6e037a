#pragma once

#include "base/boot_clock.h"
#include "gateway/store_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Decides whether a gateway may rely on another one that watches the store, or has to read the store itself: at once
 * when changes are missing, and when the other one is silent, cannot read the store, or lags behind. Has no clock of
 * its own.
 */
class relay_follower
{
public:
    /** @param seed of the random delays that keep all gateways from reading at once */
    explicit relay_follower(std::uint64_t seed);

    /** @param host sender of the message */
    void hear(const std::string &host, const store_message &message, time_point now);

    /** Called often. What was heard before a time without a call is forgotten, as the process was frozen meanwhile. */
    void tick(time_point now);

    /**
     * @param revision up to which the gateway knows all changes
     * @param recovering whether the gateway defers deletions, since the store did not answer it lately. Only then may
     * it rely on another one to which that happened
     * @returns changes after the revision, none if there is nothing new; nothing if it has to read the store itself
     */
    std::optional<store_changes> next(std::int64_t revision, bool recovering, time_point now);

    /** @returns when next() may give another result although nothing was heard. */
    time_point nextCheck(time_point now) const;

    /** @returns whether the store answers another gateway that this one can rely on after an outage of its own. */
    bool isAnswered(time_point now) const;

    /** @returns a random time until which to leave it to another gateway to try to reach the store; now without one */
    time_point patientUntil(time_point now);

    /** @returns whether the last result of next() relied on another gateway. */
    bool isFollowing() const
    {
        return m_following;
    }

    /** @returns whether the gateway was last told to read the store only because changes were missing. */
    bool isGap() const
    {
        return m_isGap;
    }

    /** @returns why the gateway does not rely on another one. */
    const char *cause() const
    {
        return m_cause;
    }

    /** Forgets what was heard. */
    void clear();

private:
    /** What was heard last of a gateway that watches the store. */
    struct sign
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool answering = false;
        bool settled = false;
        std::int64_t revision = 0;
        time_point heardAt {};
        time_point knownAt {};
        std::optional<time_point> behindSince; ///< Since when this gateway knows of changes that the other one lacks.
    };

    struct heard_changes
    {
        store_changes changes;
        bool settled = false; ///< As the sender was.
    };

    bool isReliable(const sign &known, bool recovering, time_point now) const;
    /** @returns the highest revision that a reliable gateway knows; nothing without one. Sets the cause. */
    std::optional<std::int64_t> relayedRevision(std::int64_t own, bool recovering, time_point now);
    std::optional<store_changes> takeChanges(std::int64_t revision, bool recovering);
    std::chrono::milliseconds randomDelay(std::chrono::milliseconds least, std::chrono::milliseconds most);

    std::mt19937_64 m_random;
    std::map<std::string, sign> m_signs; ///< By host.
    std::vector<heard_changes> m_changes;
    bool m_following = false;
    std::optional<time_point> m_readAt; ///< When to read the store itself, once that is necessary.
    bool m_isLoss = false; ///< Whether that is because no gateway can be relied on; the store is read even if one can.
    time_point m_ranAt {};
    time_point m_notBefore {}; ///< Relies on no other gateway earlier.
    bool m_isGap = false;
    const char *m_cause = "not heard";
};

} // namespace bronzechute
