#pragma once

#include "balance/endpoint_view.h"
#include "balance/endpoint_work.h"
#include "balance/residence_estimate.h"
#include "base/boot_clock.h"

#include <cstdint>
#include <span>

namespace bronzechute {

/**
 * Forecast of the load of a service's endpoints from reports of the other gateways, which are always a little old. As
 * many requests as end within the age of the reports are expected to be placed, where the other gateways place them by
 * the same rule as this one. So a shortage that all gateways see counts as filled before the reports say so, and no
 * endpoint is asked.
 */
class load_forecast
{
public:
    /**
     * Sets what the size of a request counts.
     * @param tokenWeight share of the work of an average request that grows with its tokens, 0 to 1
     * @param memoryTokens that fit into the memory of an endpoint; 0 if they are not known
     */
    void configure(double tokenWeight, std::int64_t memoryTokens);

    /** Sets the mean age of the reports at the time of their use. */
    void setAge(std::chrono::duration<double> age)
    {
        m_age = age;
    }

    /** Records a placement of this gateway. @param tokens that the request asks for; 0 if they are not known */
    void recordPlaced(std::int64_t tokens, time_point now)
    {
        m_residence.recordPlaced(tokens, now);
    }

    /** Records the end of a request of this gateway. */
    void recordReleased(time_point now)
    {
        m_residence.recordReleased(now);
    }

    /** @returns whether advance() would change anything. */
    bool due(time_point now) const;

    /**
     * Advances what is foreseen to the current time; called for each choice and each report.
     * @param views of the same endpoints as `work`, without extra work
     */
    void advance(std::span<const endpoint_view> views, std::span<endpoint_work> work, time_point now);

    /** Completes the views by the work that is expected at the endpoints. */
    void apply(std::span<endpoint_view> views, std::span<const endpoint_work> work, time_point now) const;

    /** @returns the requests among which the choice of one is drawn, see placeRequest(). */
    double concurrent(std::span<const endpoint_work> work, time_point now) const;

private:
    /** @returns the load in average requests. */
    double averageRequests(const endpoint_load &load) const;
    /** @returns the share of the requests in flight that end within a time. */
    double endedShare(std::chrono::duration<double> within, time_point now) const;
    double peersWork(std::span<const endpoint_work> work) const;

    residence_estimate m_residence;
    double m_tokenWeight = 0;
    std::int64_t m_memoryTokens = 0;
    std::chrono::duration<double> m_age {0};
    time_point m_advancedAt {};
};

} // namespace bronzechute
