#pragma once

#include "base/boot_clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/**
 * Decides which gateway is the hub of a data centre, from what this gateway hears: the one that is heard stays the hub;
 * if none is, the lowest host that is not known to be silent. Of two hubs that hear the same gateways the higher host
 * steps down, and one that hears less than half as many as the other steps down before that. No gateway needs another
 * one's consent, so that several can be the hub for a while; the receivers of tables choose by the same rule. Has no
 * clock of its own.
 */
class hub_rule
{
public:
    /** A hub is silent when nothing of it was heard for this time, which spans two heartbeats. */
    static constexpr std::chrono::milliseconds hubTimeout {600};

    /** @param self host of this gateway */
    explicit hub_rule(std::string self);

    /**
     * A table of a hub of this data centre arrived.
     * @param freshMembers gateways that the hub has heard lately
     * @param includedAt when the report of this gateway that is in the table was sent, if there is one
     */
    void hear(const std::string &host, int freshMembers, std::optional<time_point> includedAt, time_point now);

    /** Another gateway named the hub of this data centre. */
    void setHint(const std::string &host, time_point now);

    /**
     * @param hosts other live gateways of this data centre, in ascending order
     * @param ownFreshMembers gateways that this one has heard lately, itself included
     */
    void update(const std::vector<std::string> &hosts, int ownFreshMembers, time_point now);

    /** @returns whether this gateway is the hub. */
    bool acting() const
    {
        return m_acting;
    }

    time_point actingSince() const
    {
        return m_actingSince;
    }

    /** @returns the hub that this gateway follows; empty if there is none or it is the hub itself. */
    const std::string &followed() const
    {
        return m_followed;
    }

    /** @returns the hosts to report to: all hubs that are heard, and the next one while no hub is. */
    std::vector<std::string> reportTo(time_point now) const;

    /** @returns whether the gateway is no hub and has not heard one for a while that is shorter than hubTimeout. */
    bool isQuestioned(time_point now) const;

    /** @returns the one of several hubs of a data centre that counts. @param freshMembers of each host, not empty */
    static std::string choose(const std::map<std::string, int> &freshMembers);

private:
    struct hub_sign
    {
        time_point firstAt {}; ///< Since when it has been heard without a pause.
        time_point heardAt {};
        time_point includedAt {};
        int freshMembers = 0;
    };

    bool isHeard(const hub_sign &sign, time_point now) const;
    bool hearsThis(const hub_sign &sign, time_point now) const;
    void chooseCandidate(const std::vector<std::string> &hosts, time_point now);

    std::string m_self;
    std::map<std::string, hub_sign> m_hubs; ///< Other hubs, by host.
    std::map<std::string, time_point> m_silentUntil; ///< Hosts that did not act as the hub when they should have.
    std::string m_hint;
    time_point m_hintedAt {};
    std::string m_followed;
    std::string m_candidate; ///< Host that should be the hub while none is heard.
    time_point m_candidateSince {};
    time_point m_lastHubAt {}; ///< When the followed hub was heard last.
    time_point m_updatedAt {};
    time_point m_notBefore {}; ///< Does not become the hub earlier.
    bool m_acting = false;
    time_point m_actingSince {};
};

} // namespace bronzechute
