#pragma once

#include "balance/endpoint_load.h"
#include "balance/queue_summary.h"
#include "quarantine/crash_evidence.h"

#include <cstdint>
#include <map>
#include <string>

namespace bronzechute {

/** What a gateway has to tell the others. */
class exchange_source
{
public:
    virtual ~exchange_source() = default;

    /** @returns its work in flight, by endpoint id, without idle endpoints. */
    virtual std::map<std::string, endpoint_load> ownLoads() const = 0;

    /** @returns the summaries of its queues, by service. */
    virtual std::map<std::string, queue_summary> ownQueues() const = 0;

    /** @returns a number that changes with evidence(). */
    virtual std::uint64_t evidenceVersion() const = 0;

    virtual crash_evidence evidence() = 0;
};

} // namespace bronzechute
