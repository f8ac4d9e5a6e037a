#pragma once

#include "base/ranked_mutex.h"
#include "http/curl_handle.h"
#include "http/http_client.h"

#include <cstddef>
#include <vector>

namespace bronzechute {

/**
 * http_client on libcurl handles, which keep their connections open between calls.
 *
 * libcurl is used directly because the ulfius client opens a connection for each request and its timeout is in whole
 * seconds.
 */
class curl_http_client : public http_client
{
public:
    /**
     * @param idleHandles handles, and so connections to each server, that are kept between calls
     * @param answerLimit bytes of an answer's body
     */
    explicit curl_http_client(std::size_t idleHandles = 16, std::size_t answerLimit = std::size_t {16} * 1024 * 1024);

    result<http_answer> perform(const http_call &call) override;

private:
    /** A handle and its connections, which belong to a multi handle so that another thread can wake the call. */
    struct kept_handle
    {
        curl_multi_ptr connections;
        curl_easy_ptr easy;
    };

    kept_handle takeHandle();
    void returnHandle(kept_handle handle);
    static CURLcode run(const kept_handle &handle, http_cancellation *cancellation);

    const std::size_t m_idleLimit;
    const std::size_t m_answerLimit;
    ranked_mutex m_mutex {lock_rank::leaf};
    std::vector<kept_handle> m_idle;
};

} // namespace bronzechute
