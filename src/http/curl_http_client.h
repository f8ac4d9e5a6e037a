#pragma once

#include "base/ranked_mutex.h"
#include "http/curl_handle.h"
#include "http/http_client.h"

#include <cstddef>
#include <vector>

namespace bronzechute {

/**
 * An http_client that uses pooled libcurl handles, which keep their connections open between calls.
 *
 * libcurl is used directly because the ulfius client opens a connection for each request and only supports timeouts in
 * whole seconds.
 */
class curl_http_client : public http_client
{
public:
    /**
     * @param maxIdleHandles maximum number of idle handles, and so of idle connections to each server
     * @param maxResponseBytes maximum size of a response body in bytes
     */
    explicit curl_http_client(std::size_t maxIdleHandles = 16,
                              std::size_t maxResponseBytes = std::size_t {16} * 1024 * 1024);

    result<http_answer> perform(const http_call &call) override;

private:
    /** An easy handle with its connections. They belong to a multi handle so that another thread can wake the call. */
    struct pooled_handle
    {
        curl_multi_ptr connections;
        curl_easy_ptr easy;
    };

    pooled_handle acquireHandle();
    void releaseHandle(pooled_handle handle);
    static CURLcode run(const pooled_handle &handle, http_cancellation *cancellation);

    const std::size_t m_maxIdleHandles;
    const std::size_t m_maxResponseBytes;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::vector<pooled_handle> m_idleHandles;
};

} // namespace bronzechute
