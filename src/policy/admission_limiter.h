#pragma once

#include "backend/back_end.h"
#include "base/boot_clock.h"
#include "policy/answer_sample.h"
#include "policy/warm_pace.h"

namespace bronzechute {

/** Decides how many requests an endpoint process passes to its engine at the same time. */
class admission_limiter
{
public:
    virtual ~admission_limiter() = default;

    /** @returns the maximum number of concurrent requests, at least 1. */
    virtual int limit(time_point now) const = 0;

    /** @returns whether the cold-start cap applies. */
    virtual bool cold() const = 0;

    /** Reports that a request was passed to the engine. */
    virtual void onStarted(time_point now) = 0;

    /** Reports that a request finished at the engine. */
    virtual void onFinished(time_point now, const answer_sample &sample) = 0;

    /** Reports the load that the engine itself has measured. */
    virtual void onLoadReport(time_point now, const back_end_load &load) = 0;

    /** Starts a cold start: the engine may have lost its caches, for example while its data centre was out of service.
     */
    virtual void markCold(time_point now) = 0;

    /** Reports the warm speed of an earlier process of this endpoint, which an entry remembers. */
    virtual void onRememberedPace(time_point now, const warm_pace &remembered) = 0;

    /** @returns the warm speed for entries to remember. */
    virtual warm_pace warmPace() const = 0;
};

} // namespace bronzechute
