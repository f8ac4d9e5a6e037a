#pragma once

#include "http/header_list.h"

#include <curl/curl.h>

#include <memory>

namespace bronzechute {

/** Frees a libcurl easy handle together with its open connections. */
struct curl_easy_deleter
{
    void operator()(CURL *handle) const noexcept
    {
        curl_easy_cleanup(handle);
    }
};

using curl_easy_ptr = std::unique_ptr<CURL, curl_easy_deleter>;

/** Frees a libcurl multi handle together with its open connections. */
struct curl_multi_deleter
{
    void operator()(CURLM *handle) const noexcept
    {
        curl_multi_cleanup(handle);
    }
};

using curl_multi_ptr = std::unique_ptr<CURLM, curl_multi_deleter>;

/** Frees a libcurl string list. */
struct curl_list_deleter
{
    void operator()(curl_slist *list) const noexcept
    {
        curl_slist_free_all(list);
    }
};

using curl_list_ptr = std::unique_ptr<curl_slist, curl_list_deleter>;

/** @returns the request headers as a libcurl list. */
curl_list_ptr toCurlList(const header_list &headers);

/** Initialises libcurl once for the process; safe to call from any thread. */
void initializeCurl();

} // namespace bronzechute
