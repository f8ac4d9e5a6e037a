#pragma once

#include "base/boot_clock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace bronzechute {

/**
 * Work that the client accounts asked for and got lately, over all gateways, in tokens of prompts and responses. The
 * max-min fair level is what each account gets if the capacity is filled up evenly and none gets more than it asks for.
 * An account has had its share if it asks for more than that and got about as much. Others then go before it. While all
 * get what they ask for, or most ask for more, there is no such account.
 */
class account_shares
{
public:
    using work_by_account = std::map<std::string, std::int64_t>;

    /** @param tokens that the request asks for; 0 if they are not known, which counts as the least work */
    void recordStarted(const std::string &account, std::int64_t tokens, time_point now);

    /** @copydoc recordStarted */
    void recordRefused(const std::string &account, std::int64_t tokens, time_point now);

    /** Sets the work of the other gateways. */
    void setOthers(work_by_account started, work_by_account refused);

    /** @returns the work of this gateway that was started lately. */
    work_by_account started(time_point now) const;

    /** @returns the work of this gateway that was refused lately. */
    work_by_account refused(time_point now) const;

    /** @returns the accounts that have had their share and ask for more. */
    std::set<std::string> overShare(time_point now) const;

    /** @returns Jain's index of the accounts' started work as a share of what they asked for. */
    double fairness(time_point now) const;

private:
    /** Work of one account at this gateway; it decays. */
    struct own_work
    {
        double started = 0;
        double refused = 0;
        time_point updatedAt {};
    };

    /** Work of one account at all gateways. */
    struct total_work
    {
        double started = 0;
        double asked = 0;
    };

    own_work &workOf(const std::string &account, time_point now);
    static own_work at(const own_work &work, time_point now);
    std::map<std::string, total_work> totals(time_point now) const;

    std::map<std::string, own_work> m_own; ///< By account; bounded by the accounts of the configuration.
    work_by_account m_othersStarted;
    work_by_account m_othersRefused;
};

} // namespace bronzechute
