#pragma once

#include "base/boot_clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute::soak {

enum class call_kind { read, order, stream };

/** A caller's request and what came of it. */
struct call_record
{
    std::string id;
    call_kind kind = call_kind::read;
    std::string gateway;
    time_point sentAt;
    time_point endedAt;
    int status = 0; ///< 0: no whole answer.
    bool genuine = true; ///< A success has the endpoint's body and signature.
    bool owed = true; ///< Whether an answer has to come in calm: the caller neither leaves nor overloads the site.
    bool saidLeaving = false; ///< The answer says that its endpoint is leaving.
};

/** A request that shows whether a gateway knows a version of the configuration. */
struct version_probe
{
    std::string gateway;
    int incarnation = 0; ///< Of the gateway's process, all the time from sentAt to endedAt.
    std::int64_t version = 0;
    std::int64_t newest = 0; ///< Highest version that may have been written by the end of the probe.
    time_point sentAt;
    time_point endedAt;
    int status = 0;
};

/** A request that an endpoint began. */
struct run_record
{
    std::string id;
    std::string account;
};

/** What an endpoint saw that must not happen. */
struct endpoint_violation
{
    time_point at;
    std::string endpoint;
    std::string kind; ///< "left", "cold" or "maps".
    std::string detail;
};

/** What an endpoint has said about itself in the answer to a request. */
struct endpoint_saying
{
    time_point at;
    std::string endpoint;
    int run = 0; ///< Number of the endpoint's process.
    std::string id; ///< Of the request.
    std::optional<std::chrono::milliseconds> pause; ///< Absent: it is leaving.
};

/** A request that reached an endpoint after it had said something. */
struct endpoint_arrival
{
    time_point at;
    std::string endpoint;
    int run = 0;
    std::string id;
};

/** A time in which a part of the site was disturbed. */
struct disturbance
{
    /** "store", the name of a gateway or endpoint, or processOf() a gateway while it is stopped or frozen. */
    std::string part;
    time_point from;
    time_point until;
};

/** @returns the name of a gateway's process among the disturbed parts. */
inline std::string processOf(const std::string &gateway)
{
    return gateway + ".process";
}

/** Everything that callers, endpoints and the runner have seen. */
struct soak_evidence
{
    std::vector<call_record> calls;
    std::vector<version_probe> probes;
    std::vector<run_record> runs;
    std::vector<endpoint_violation> violations;
    std::vector<endpoint_saying> sayings;
    std::vector<endpoint_arrival> arrivals;
    std::vector<disturbance> disturbances;
    std::vector<disturbance>
        plannedStops; ///< Of gateways in the calm, from the SIGTERM until the next process knows the others.
    std::map<std::int64_t, time_point> acknowledged; ///< When the store took each version.
    std::vector<std::string> findings; ///< What the runner itself found, such as a process that ended.
    int mapSwitches = 0; ///< How often an engine took over another map.
    time_point calmFrom; ///< From then on everything has to be served.
};

/** @returns one line for each promise that was broken, with the request or version that shows it. */
std::vector<std::string> findingsOf(const soak_evidence &evidence);

} // namespace bronzechute::soak
