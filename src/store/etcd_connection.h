#pragma once

#include "http/http_client.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace bronzechute {

/** Endpoints and timeouts of an etcd cluster. */
struct etcd_store_options
{
    std::vector<std::string> endpoints; ///< "http://host:port" of each member, tried in order.
    std::chrono::milliseconds callTimeout {1500}; ///< Deadline of a call across all endpoints.
    std::chrono::milliseconds connectTimeout {400};
    std::chrono::milliseconds watchIdleTimeout {3000}; ///< A watch that receives no data for this long is reopened.
    std::chrono::milliseconds reconnectDelay {200}; ///< Initial delay before reopening a watch; doubles up to 2 s.
};

/** Sends calls to an etcd cluster and fails over to the next endpoint. Thread-safe. */
class etcd_connection
{
public:
    /** Determines after which failures a call is retried on the next endpoint. */
    enum class call_kind {
        idempotent, ///< Retried after any failure.
        write ///< Retried only when the failed call is known to have had no effect.
    };

    etcd_connection(etcd_store_options options, std::unique_ptr<http_client> client);

    /**
     * Posts the request to the path and parses the answer.
     * @returns the answer as JSON; errc::unavailable when the call had no effect; errc::outcome_unknown when a write
     *          may have taken effect; errc::not_found for an unknown lease; errc::too_large; errc::overloaded;
     *          errc::protocol_violation for a malformed answer
     */
    result<nlohmann::json> call(const std::string &path, const nlohmann::json &request, call_kind kind);

    /** @returns the endpoint to which the next call is sent first. */
    const std::string &preferredEndpoint() const
    {
        return m_options.endpoints[m_preferred.load()];
    }

    /** Prefers the next endpoint after a watch on the failed one ended, unless another one is preferred already. */
    void advanceEndpoint(const std::string &failed);

    const etcd_store_options &options() const
    {
        return m_options;
    }

private:
    result<nlohmann::json> callEndpoint(const std::string &url, const std::string &body,
                                        std::chrono::milliseconds timeout, call_kind kind);

    const etcd_store_options m_options;
    const std::unique_ptr<http_client> m_client;
    std::atomic<std::size_t> m_preferred {0};
};

} // namespace bronzechute
