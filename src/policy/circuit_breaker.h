#pragma once

#include "base/boot_clock.h"
#include "policy/breaker_settings.h"
#include "policy/breaker_state.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace bronzechute {

/**
 * Ejects endpoints of a pool that fail or lag behind their peers. After the ejection time one probe is allowed; its
 * success returns the endpoint, its failure ejects it for twice as long.
 */
class circuit_breaker
{
public:
    explicit circuit_breaker(const breaker_settings &settings = {});

    /** @param size endpoints of the pool, of which a share may be ejected. */
    void setPoolSize(std::size_t size);

    /** A request was sent. Takes the probe when the endpoint is ejected. */
    void onSent(time_point now, std::string_view endpoint);

    /** @param paceMs time of the answer in a measure that compares between peers, such as milliseconds a token. */
    void onAnswered(time_point now, std::string_view endpoint, double paceMs);

    /** The endpoint failed or was unreachable. A refusal for lack of capacity is not a failure. */
    void onFailed(time_point now, std::string_view endpoint);

    /** A request ended with neither, for example cancelled or refused; a probe that it was may be made again. */
    void onNeutral(std::string_view endpoint);

    breaker_state state(time_point now, std::string_view endpoint) const;

    void forget(std::string_view endpoint);

private:
    struct record
    {
        int failures = 0; ///< In a row.
        int samples = 0;
        double paceMs = 0; ///< Smoothed.
        int ejections = 0; ///< In a row.
        bool ejected = false;
        bool probing = false;
        time_point until {}; ///< End of the ejection.
        time_point probeSentAt {};
    };

    record &at(std::string_view endpoint);
    void eject(time_point now, record &endpoint);
    bool lags(const record &endpoint) const;

    const breaker_settings m_settings;
    std::size_t m_poolSize = 0;
    std::size_t m_ejected = 0;
    std::map<std::string, record, std::less<>> m_records;
};

} // namespace bronzechute
