#pragma once

#include "balance/repeat_limits.h"
#include "base/result.h"
#include "base/socket_address.h"
#include "config/configuration_problem.h"
#include "config/endpoint_pool.h"
#include "config/label_set.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

/** What a process does; see gateway_role, entry_role and endpoint_role. */
enum class daemon_role { entry, endpoint, gateway };

/** @returns the role's name in settings. */
const char *roleName(daemon_role role);

/** Another process of the system, known from settings. */
struct peer_settings
{
    std::string name;
    socket_address address;

    friend bool operator==(const peer_settings &, const peer_settings &) = default;
};

/** Settings of the process's own listeners. */
struct listen_settings
{
    socket_address http; ///< Callers (entry), health and metrics (both roles).
    std::optional<socket_address> admin; ///< Administration API; entry only.
    socket_address peers; ///< Other processes of the system.
    std::string tlsCertificate; ///< File in PEM; empty: plain HTTP.
    std::string tlsKey; ///< File in PEM.

    friend bool operator==(const listen_settings &, const listen_settings &) = default;
};

/** Settings that only an endpoint process has. */
struct endpoint_settings
{
    label_set labels;
    endpoint_kind kind = endpoint_kind::model;
    std::string engineUrl; ///< "http://host:port" of the engine or plain service beside this process.
    std::vector<std::string> models; ///< Models that the engine serves.
    int maxConcurrency = 64; ///< Upper bound of the adaptive limit.
    int queueLength = 64; ///< Requests that may wait.
    std::chrono::milliseconds engineIdleTimeout {10000}; ///< Longest silence of the engine within an answer.

    friend bool operator==(const endpoint_settings &, const endpoint_settings &) = default;
};

/** Settings that only a gateway has. */
struct gateway_settings
{
    socket_address status; ///< Readiness and metrics.
    std::vector<socket_address> seeds; ///< Other gateways; some may be gone. Only their hosts are used.
    repeat_limits repeats;

    friend bool operator==(const gateway_settings &, const gateway_settings &) = default;
};

/** Settings of one bronzechuted process, checked whole at start. */
struct daemon_settings
{
    daemon_role role = daemon_role::entry;
    std::string node; ///< Unique name of this process.
    std::string dataCentre;
    std::string region;
    listen_settings listen;
    std::vector<std::string> storeEndpoints; ///< URLs of the platform's store; entry and gateway.
    std::chrono::milliseconds storeTimeout {1500};
    std::vector<peer_settings> endpoints; ///< Endpoint processes known from settings; entry only.
    std::vector<peer_settings> peers; ///< Other entries; entry only.
    endpoint_settings endpoint;
    gateway_settings gateway;
    std::size_t bodyLimit = std::size_t {1024} * 1024; ///< Bytes of a caller's request body.
    std::chrono::milliseconds drainTimeout {60000};
    std::string logLevel = "info"; ///< trace, debug, info, warn or error.
    std::string logFile; ///< Empty: standard output.

    friend bool operator==(const daemon_settings &, const daemon_settings &) = default;
};

/** Settings that were read, and everything that was found wrong with them. */
struct parsed_settings
{
    std::optional<daemon_settings> settings; ///< Absent when there is a problem of severity error.
    std::vector<configuration_problem> problems;
};

/** Reads and checks settings in YAML; unknown keys are errors. */
parsed_settings parseSettings(const std::string &yaml);

/** @returns errc::not_found when the file cannot be read. */
result<std::string> readTextFile(const std::string &path);

} // namespace bronzechute
