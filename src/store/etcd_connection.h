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

/** Where the store is and how long to wait for it. */
struct etcd_store_options
{
    std::vector<std::string> endpoints; ///< "http://host:port" of each member, tried in order.
    std::chrono::milliseconds callTimeout {1500}; ///< For a whole call, all endpoints included.
    std::chrono::milliseconds connectTimeout {400};
    std::chrono::milliseconds watchSilence {3000}; ///< A watch that received nothing for so long is reopened.
    std::chrono::milliseconds reconnectDelay {200}; ///< Between attempts to reopen a watch; doubles up to 2 s.
};

/** Sends single calls to the first member of an etcd cluster that answers. Safe to call from any thread. */
class etcd_connection
{
public:
    enum class effect {
        repeatable, ///< Sent to the next endpoint after any failure.
        write ///< Sent to the next endpoint only when it certainly had no effect.
    };

    etcd_connection(etcd_store_options options, std::unique_ptr<http_client> client);

    /**
     * @returns the answer's JSON; errc::unavailable when the call had no effect; errc::outcome_unknown when a write
     *          may have taken effect; errc::not_found for an unknown lease; errc::too_large; errc::overloaded;
     *          errc::protocol_violation for an answer that cannot be read
     */
    result<nlohmann::json> call(const std::string &path, const nlohmann::json &request, effect kind);

    /** @returns the endpoint that answered last. */
    const std::string &preferredEndpoint() const
    {
        return m_options.endpoints[m_preferred.load()];
    }

    /** Makes the next endpoint the preferred one, after a watch on this one failed. */
    void advanceEndpoint(const std::string &failed);

    const etcd_store_options &options() const
    {
        return m_options;
    }

private:
    result<nlohmann::json> callEndpoint(const std::string &url, const std::string &body,
                                        std::chrono::milliseconds timeout, effect kind);

    const etcd_store_options m_options;
    const std::unique_ptr<http_client> m_client;
    std::atomic<std::size_t> m_preferred {0};
};

} // namespace bronzechute
