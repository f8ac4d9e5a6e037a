#pragma once

#include "balance/retry_limits.h"
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

/** Role of a process; see gateway_role, entry_role and endpoint_role. */
enum class daemon_role { entry, endpoint, gateway };

/** @returns the name of the role in a settings file. */
const char *roleName(daemon_role role);

/** Name and address of another process of the system. */
struct peer_settings
{
    std::string name;
    socket_address address;

    friend bool operator==(const peer_settings &, const peer_settings &) = default;
};

/** Addresses and TLS files of the process's listening sockets. */
struct listen_settings
{
    socket_address http; ///< Client requests (entry only), health checks and metrics.
    std::optional<socket_address> admin; ///< Administration API; entry only.
    socket_address peers; ///< Connections from other processes of the system.
    std::string tlsCertificate; ///< Path of a PEM file; empty for HTTP without TLS.
    std::string tlsKey; ///< Path of a PEM file.

    friend bool operator==(const listen_settings &, const listen_settings &) = default;
};

/** Settings of an endpoint process. */
struct endpoint_settings
{
    label_set labels;
    endpoint_kind kind = endpoint_kind::model;
    std::string engineUrl; ///< "http://host:port" of the engine or plain service that this process fronts.
    std::vector<std::string> models; ///< Models that the engine serves.
    int maxConcurrency = 64; ///< Upper bound of the adaptive concurrency limit.
    int queueLength = 64; ///< Maximum number of queued requests.
    std::chrono::milliseconds engineIdleTimeout {10000}; ///< Maximum pause of the engine within an answer.

    friend bool operator==(const endpoint_settings &, const endpoint_settings &) = default;
};

/** Settings of a gateway process. */
struct gateway_settings
{
    socket_address status; ///< Serves readiness and metrics.
    std::vector<socket_address> seeds; ///< Gateways to contact first; some may be gone. Only their hosts are used.
    retry_limits repeats;

    friend bool operator==(const gateway_settings &, const gateway_settings &) = default;
};

/** Settings of one bronzechuted process, validated at startup. */
struct daemon_settings
{
    daemon_role role = daemon_role::entry;
    std::string node; ///< Unique name of this process.
    std::string dataCentre;
    std::string region;
    listen_settings listen;
    std::vector<std::string> storeEndpoints; ///< URLs of the platform's store; entry and gateway only.
    std::chrono::milliseconds storeTimeout {1500};
    std::vector<peer_settings> endpoints; ///< Statically configured endpoint processes; entry only.
    std::vector<peer_settings> peers; ///< Other entries; entry only.
    endpoint_settings endpoint;
    gateway_settings gateway;
    std::size_t bodyLimit = std::size_t {1024} * 1024; ///< Maximum size of a request body in bytes.
    std::size_t memoryLimit = 0; ///< Bytes that the whole process may use; 0: memory of the machine.
    std::size_t maxDescriptors = 0; ///< That the process may have open; 0: limit of the operating system.
    std::chrono::milliseconds drainTimeout {60000};
    std::string logLevel = "info"; ///< trace, debug, info, warn or error.
    std::string logFile; ///< Empty for standard output.

    friend bool operator==(const daemon_settings &, const daemon_settings &) = default;
};

/** The result of parsing a settings file: the settings and all problems found. */
struct parsed_settings
{
    std::optional<daemon_settings> settings; ///< Absent when there is a problem of severity error.
    std::vector<configuration_problem> problems;
};

/** Parses and validates settings in YAML; unknown keys are errors. */
parsed_settings parseSettings(const std::string &yaml);

/** @returns the content of the file, or errc::not_found when it cannot be read. */
result<std::string> readTextFile(const std::string &path);

} // namespace bronzechute
