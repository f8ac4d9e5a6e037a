#include "http/curl_http_client.h"

#include "base/scope_guard.h"

#include <mutex>

namespace bronzechute {

namespace {

constexpr const char *callStep = "http.call";

// Servers commonly close a connection after a minute or two of silence; an older one is likely to fail on use.
constexpr long maxIdleSeconds = 30;

// libcurl shortens it to the time at which the transfer needs attention.
constexpr int longestPollMs = 1000;

/** What the callbacks of one transfer write to. */
struct transfer
{
    http_answer answer;
    std::size_t answerLimit = 0;
    int sends = 0; ///< How often libcurl was about to send the request.
    bool mayRepeat = false;
    bool tooLarge = false;
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *state = static_cast<transfer *>(context);
    const std::size_t bytes = size * count;
    if (state->answer.body.size() + bytes > state->answerLimit) {
        state->tooLarge = true;
        return 0;
    }
    state->answer.body.append(data, bytes);
    return bytes;
}

std::size_t appendHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *state = static_cast<transfer *>(context);
    std::string_view line(data, size * count);
    if (line.starts_with("HTTP/")) {
        state->answer.headers.clear(); // An interim response such as 100 Continue came before.
        return line.size();
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string_view value = line.substr(colon + 1);
        const std::size_t first = value.find_first_not_of(" \t");
        const std::size_t last = value.find_last_not_of(" \t\r\n");
        value = first == std::string_view::npos || last < first ? "" : value.substr(first, last - first + 1);
        state->answer.headers.emplace_back(line.substr(0, colon), value);
    }
    return line.size();
}

// libcurl sends a request again by itself when a reused connection closes without an answer, although the server may
// have handled the first one. Only calls that may be repeated are let through a second time.
int beforeSend(void *context, char *, char *, int, int)
{
    auto *state = static_cast<transfer *>(context);
    if (state->sends > 0 && !state->mayRepeat) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++state->sends;
    return CURL_PREREQFUNC_OK;
}

void configure(CURL *handle, const http_call &call, curl_slist *headers, transfer &state)
{
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, maxIdleSeconds);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, appendHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, beforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &state);
    if (call.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }
}

} // namespace

curl_http_client::curl_http_client(std::size_t idleHandles, std::size_t answerLimit)
    : m_idleLimit(idleHandles), m_answerLimit(answerLimit)
{
    initializeCurl();
}

curl_http_client::kept_handle curl_http_client::takeHandle()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_idle.empty()) {
            kept_handle handle = std::move(m_idle.back());
            m_idle.pop_back();
            return handle;
        }
    }
    return {curl_multi_ptr(curl_multi_init()), curl_easy_ptr(curl_easy_init())};
}

void curl_http_client::returnHandle(kept_handle handle)
{
    const std::scoped_lock lock(m_mutex);
    if (m_idle.size() < m_idleLimit) {
        m_idle.push_back(std::move(handle));
    }
}

CURLcode curl_http_client::run(const kept_handle &handle, http_cancellation *cancellation)
{
    CURLM *const multi = handle.connections.get();
    if (curl_multi_add_handle(multi, handle.easy.get()) != CURLM_OK) {
        return CURLE_OUT_OF_MEMORY;
    }
    const scope_guard detach([&] { curl_multi_remove_handle(multi, handle.easy.get()); });
    if (cancellation != nullptr) {
        cancellation->setWake([multi] { curl_multi_wakeup(multi); });
    }
    const scope_guard forget([&] {
        if (cancellation != nullptr) {
            cancellation->setWake({});
        }
    });
    for (;;) {
        int running = 0;
        if (curl_multi_perform(multi, &running) != CURLM_OK) {
            return CURLE_RECV_ERROR;
        }
        if (running == 0) {
            int remaining = 0;
            const CURLMsg *message = curl_multi_info_read(multi, &remaining);
            return message == nullptr ? CURLE_RECV_ERROR : message->data.result;
        }
        if (cancellation != nullptr && cancellation->cancelled()) {
            return CURLE_ABORTED_BY_CALLBACK;
        }
        curl_multi_poll(multi, nullptr, 0, longestPollMs, nullptr);
    }
}

result<http_answer> curl_http_client::perform(const http_call &call)
{
    transfer state;
    state.answerLimit = m_answerLimit;
    state.mayRepeat = call.mayRepeat;
    const curl_list_ptr headers = toCurlList(call.headers);
    kept_handle handle = takeHandle();
    if (handle.easy == nullptr || handle.connections == nullptr) {
        return error {errc::unavailable, callStep, call.url, "no memory for a transfer"};
    }
    configure(handle.easy.get(), call, headers.get(), state);
    const CURLcode code = run(handle, call.cancellation.get());
    if (code == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(handle.easy.get(), CURLINFO_RESPONSE_CODE, &status);
        state.answer.status = static_cast<int>(status);
        returnHandle(std::move(handle));
        return std::move(state.answer);
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        // The path may have gone silent: the other idle connections would cost a timeout each.
        std::vector<kept_handle> discarded;
        const std::scoped_lock lock(m_mutex);
        discarded.swap(m_idle);
    }
    if (state.tooLarge) {
        return error {errc::too_large, callStep, call.url,
                      "the answer exceeds " + std::to_string(m_answerLimit) + " bytes"};
    }
    return error {state.sends > 0 ? errc::outcome_unknown : errc::unavailable, callStep, call.url,
                  curl_easy_strerror(code)};
}

} // namespace bronzechute
