#pragma once

#include "base/boot_clock.h"

#include <map>
#include <string>

namespace bronzechute {

/** Remembers to which hosts something was sent lately, so that it is repeated only after an interval. Bounded. */
class paced_hosts
{
public:
    /** @param interval shortest time between two sendings to a host */
    explicit paced_hosts(boot_clock::duration interval);

    /** @returns whether the interval has passed for a host; false also while too many hosts are remembered. */
    bool isDue(const std::string &host, time_point now);

    /** Something was sent to a host. */
    void note(const std::string &host, time_point now);

private:
    void forgetDue(time_point now);

    boot_clock::duration m_interval;
    std::map<std::string, time_point> m_sentAt; ///< By host.
};

} // namespace bronzechute
