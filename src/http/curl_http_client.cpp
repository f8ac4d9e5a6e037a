#include "http/curl_http_client.h"

#include "base/scope_guard.h"
#include "http/response_head_reader.h"

#include <mutex>

namespace bronzechute {

namespace {

constexpr const char *callStep = "http.call";

// Servers commonly close idle connections after one to two minutes; reusing an older connection is likely to fail.
constexpr long maxConnectionIdleSeconds = 30;

// Upper bound only: libcurl polls for less time when the transfer has an earlier timer.
constexpr int maxPollMs = 1000;

// Of all header fields and trailers of a response together.
constexpr std::size_t maxHeaderBytes = std::size_t {64} * 1024;

/** State that the libcurl callbacks of one call update. */
struct transfer_state
{
    http_answer response;
    std::size_t maxResponseBytes = 0;
    std::size_t headerBytes = 0; ///< Received so far.
    int sendAttempts = 0; ///< Number of times libcurl began to send the request.
    bool mayRepeat = false;
    bool tooLarge = false;
    response_head_reader head;
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *state = static_cast<transfer_state *>(context);
    const std::size_t bytes = size * count;
    if (state->response.body.size() + bytes > state->maxResponseBytes) {
        state->tooLarge = true;
        return 0;
    }
    state->response.body.append(data, bytes);
    return bytes;
}

std::size_t appendHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *state = static_cast<transfer_state *>(context);
    const std::string_view line(data, size * count);
    state->headerBytes += line.size();
    if (state->headerBytes > maxHeaderBytes) {
        state->tooLarge = true;
        return 0;
    }
    return state->head.addLine(line) ? line.size() : 0;
}

// libcurl resends a request when a reused connection closes without a response, although the server may already have
// handled it. Only calls with mayRepeat are allowed to be sent a second time.
int checkSendAllowed(void *context, char *, char *, int, int)
{
    auto *state = static_cast<transfer_state *>(context);
    if (state->sendAttempts > 0 && !state->mayRepeat) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++state->sendAttempts;
    return CURL_PREREQFUNC_OK;
}

void configure(CURL *handle, const http_call &call, curl_slist *headers, transfer_state &state)
{
    curl_easy_reset(handle);
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, maxConnectionIdleSeconds);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, appendHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, checkSendAllowed);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &state);
    if (call.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }
}

} // namespace

curl_http_client::curl_http_client(std::size_t maxIdleHandles, std::size_t maxResponseBytes)
    : m_maxIdleHandles(maxIdleHandles), m_maxResponseBytes(maxResponseBytes)
{
    initializeCurl();
}

curl_http_client::pooled_handle curl_http_client::acquireHandle()
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_idleHandles.empty()) {
            pooled_handle handle = std::move(m_idleHandles.back());
            m_idleHandles.pop_back();
            return handle;
        }
    }
    return {curl_multi_ptr(curl_multi_init()), curl_easy_ptr(curl_easy_init())};
}

void curl_http_client::releaseHandle(pooled_handle handle)
{
    const std::scoped_lock lock(m_mutex);
    if (m_idleHandles.size() < m_maxIdleHandles) {
        m_idleHandles.push_back(std::move(handle));
    }
}

CURLcode curl_http_client::run(const pooled_handle &handle, http_cancellation *cancellation)
{
    CURLM *const multi = handle.connections.get();
    if (curl_multi_add_handle(multi, handle.easy.get()) != CURLM_OK) {
        return CURLE_OUT_OF_MEMORY;
    }
    const scope_guard detach([&] { curl_multi_remove_handle(multi, handle.easy.get()); });
    if (cancellation != nullptr) {
        cancellation->setWake([multi] { curl_multi_wakeup(multi); });
    }
    const scope_guard clearWake([&] {
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
        curl_multi_poll(multi, nullptr, 0, maxPollMs, nullptr);
    }
}

result<http_answer> curl_http_client::perform(const http_call &call)
{
    transfer_state state;
    state.maxResponseBytes = m_maxResponseBytes;
    state.mayRepeat = call.mayRepeat;
    const curl_list_ptr headers = toCurlList(call.headers);
    pooled_handle handle = acquireHandle();
    if (handle.easy == nullptr || handle.connections == nullptr) {
        return error {errc::unavailable, callStep, call.url, "cannot allocate a curl handle"};
    }
    configure(handle.easy.get(), call, headers.get(), state);
    const CURLcode code = run(handle, call.cancellation.get());
    // libcurl takes a head that ends with its connection for the whole head of a response without a body.
    if (code == CURLE_OK && !state.head.complete()) {
        return error {errc::outcome_unknown, callStep, call.url, "the connection closed within the response head"};
    }
    if (code == CURLE_OK) {
        state.response.status = state.head.status();
        state.response.headers = state.head.fields();
        releaseHandle(std::move(handle));
        return std::move(state.response);
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        // The server may be unreachable; reusing the other idle connections could cost one timeout each.
        std::vector<pooled_handle> discarded;
        const std::scoped_lock lock(m_mutex);
        discarded.swap(m_idleHandles);
    }
    if (state.tooLarge) {
        return error {errc::too_large, callStep, call.url,
                      "response exceeds " + std::to_string(maxHeaderBytes) + " bytes of headers or "
                          + std::to_string(m_maxResponseBytes) + " bytes of body"};
    }
    if (!state.head.fault().empty()) {
        return error {errc::outcome_unknown, callStep, call.url, state.head.fault()};
    }
    return error {state.sendAttempts > 0 ? errc::outcome_unknown : errc::unavailable, callStep, call.url,
                  curl_easy_strerror(code)};
}

} // namespace bronzechute
