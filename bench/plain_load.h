#pragma once

#include "base/boot_clock.h"

#include <chrono>
#include <curl/curl.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute::bench {

/** One kept-alive connection that sends short requests one after another. */
class plain_connection
{
public:
    plain_connection(const std::string &url, const std::string &body, const std::vector<std::string> &headers)
        : m_curl(curl_easy_init())
    {
        for (const std::string &header : headers) {
            m_headers = curl_slist_append(m_headers, header.c_str());
        }
        curl_easy_setopt(m_curl, CURLOPT_URL, url.c_str());
        curl_easy_setopt(m_curl, CURLOPT_PROXY, "");
        curl_easy_setopt(m_curl, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_curl, CURLOPT_TIMEOUT_MS, 10000L);
        curl_easy_setopt(m_curl, CURLOPT_HTTPHEADER, m_headers);
        curl_easy_setopt(m_curl, CURLOPT_WRITEFUNCTION, discard);
        if (!body.empty()) {
            curl_easy_setopt(m_curl, CURLOPT_COPYPOSTFIELDS, body.c_str());
        }
    }

    ~plain_connection()
    {
        curl_slist_free_all(m_headers);
        curl_easy_cleanup(m_curl);
    }

    plain_connection(const plain_connection &) = delete;
    plain_connection &operator=(const plain_connection &) = delete;

    /** @param ok set to whether the answer was a success @returns the time it took, in ms. */
    double send(bool &ok)
    {
        constexpr long firstSuccess = 200;
        constexpr long firstOther = 300;
        const time_point begin = boot_clock::now();
        long status = 0;
        const CURLcode code = curl_easy_perform(m_curl);
        const std::chrono::duration<double, std::milli> time = boot_clock::now() - begin;
        curl_easy_getinfo(m_curl, CURLINFO_RESPONSE_CODE, &status);
        ok = code == CURLE_OK && status >= firstSuccess && status < firstOther;
        return time.count();
    }

private:
    static std::size_t discard(char *, std::size_t size, std::size_t count, void *)
    {
        return size * count;
    }

    CURL *m_curl;
    curl_slist *m_headers = nullptr;
};

/** What a burst of short requests led to. */
struct plain_burst
{
    double requestsPerSecond = 0;
    std::size_t sent = 0;
    int failed = 0;
};

/** Sends requests over a number of connections at once, each on a thread of its own. */
inline plain_burst sendBurst(const std::string &url, const std::string &body, const std::vector<std::string> &headers,
                             int connections, int requests, time_point limit)
{
    std::vector<std::thread> threads;
    std::vector<int> failed(static_cast<std::size_t>(connections), 0);
    std::vector<int> sent(static_cast<std::size_t>(connections), 0);
    const time_point begin = boot_clock::now();
    for (std::size_t index = 0; index < failed.size(); ++index) {
        threads.emplace_back([&, index] {
            plain_connection connection(url, body, headers);
            for (int count = 0; count < requests / connections && boot_clock::now() < limit; ++count) {
                bool ok = false;
                connection.send(ok);
                ++sent[index];
                failed[index] += ok ? 0 : 1;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::chrono::duration<double> time = boot_clock::now() - begin;
    plain_burst burst;
    for (std::size_t index = 0; index < failed.size(); ++index) {
        burst.sent += static_cast<std::size_t>(sent[index]);
        burst.failed += failed[index];
    }
    burst.requestsPerSecond = static_cast<double>(burst.sent) / time.count();
    return burst;
}

} // namespace bronzechute::bench
