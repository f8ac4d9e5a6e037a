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
 * Circuit breaker with outlier detection: ejects endpoints of a pool that fail or are much slower than their peers.
 * After the ejection time one request is allowed as a probe. Its success readmits the endpoint, its failure ejects the
 * endpoint for twice as long.
 */
class circuit_breaker
{
public:
    explicit circuit_breaker(const breaker_settings &settings = {});

    /** @param size number of endpoints in the pool; limits how many may be ejected */
    void setPoolSize(std::size_t size);

    /** Reports that a request was sent. If the endpoint is ejected, the request is its probe. */
    void onSent(time_point now, std::string_view endpoint);

    /**
     * Reports a response.
     *
     * @param paceMs duration in a unit that is comparable between peers, such as milliseconds per token
     */
    void onAnswered(time_point now, std::string_view endpoint, double paceMs);

    /** Reports that the endpoint failed or was unreachable. A refusal for lack of capacity is not a failure. */
    void onFailed(time_point now, std::string_view endpoint);

    /**
     * Reports an inconclusive end, such as a cancellation or a refusal. If the request was the probe, another probe may
     * be sent.
     */
    void onNeutral(std::string_view endpoint);

    breaker_state state(time_point now, std::string_view endpoint) const;

    /** Removes all state of the endpoint. */
    void forget(std::string_view endpoint);

private:
    struct record
    {
        int failures = 0; ///< Consecutive failures.
        int responses = 0;
        double paceMs = 0; ///< Smoothed duration of the responses.
        int ejections = 0; ///< Consecutive ejections.
        bool ejected = false;
        bool probing = false;
        time_point ejectedUntil {};
        time_point probeSentAt {};
    };

    record &findOrAdd(std::string_view endpoint);
    void eject(time_point now, record &endpoint);
    bool lags(const record &endpoint) const;

    const breaker_settings m_settings;
    std::size_t m_poolSize = 0;
    std::size_t m_ejected = 0;
    std::map<std::string, record, std::less<>> m_records;
};

} // namespace bronzechute
