#pragma once

#include "base/boot_clock.h"

namespace bronzechute {

/**
 * Whether an endpoint is known to be warm. An endpoint that is not known to be warm counts as cold. It becomes warm
 * when its cold start is over by the time at which it is known to have been in service.
 */
class endpoint_warmth
{
public:
    /** States that the endpoint is warm, as the list of endpoints said when this gateway started. */
    void setWarm();

    /** Records that the endpoint may have turned cold. @param period longest time for which it may stay cold from now
     */
    void presumeCold(time_point now, boot_clock::duration period);

    /** Records that the endpoint is in service again, and may be cold from now. @param period as of presumeCold() */
    void onReturn(time_point now, boot_clock::duration period);

    /** Records that the endpoint did not respond: it may be down, and cold when it is back. */
    void onSilence(time_point now);

    /** Records a response. After silence, the cold start has begun by now. @param period as of presumeCold() */
    void onResponse(time_point now, boot_clock::duration period);

    bool isWarm(time_point now) const
    {
        return now >= warmAt();
    }

    /** @returns when the endpoint counts as warm, as far as it is known. */
    time_point warmAt() const;

private:
    time_point m_coldUntil = time_point::max();
    time_point m_silentUntil {}; ///< Until then it counts as cold if no response arrives.
};

} // namespace bronzechute
