#include "http/http_stream_reader.h"

#include "base/boot_clock.h"
#include "base/scope_guard.h"
#include "http/curl_handle.h"
#include "http/http_status.h"
#include "http/response_head_reader.h"

#include <algorithm>
#include <atomic>

namespace bronzechute {

namespace {

constexpr const char *streamStep = "http.stream";

struct multi_deleter
{
    void operator()(CURLM *handle) const noexcept
    {
        curl_multi_cleanup(handle);
    }
};

/** State of the callbacks of one transfer. */
struct stream_transfer
{
    const std::function<bool(std::string_view)> *onData = nullptr;
    time_point lastData;
    bool stoppedByConsumer = false;
    response_head_reader head {};
};

std::size_t readHeadLine(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<stream_transfer *>(context);
    return transfer->head.addLine({data, size * count}) ? size * count : 0;
}

std::size_t forwardBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<stream_transfer *>(context);
    transfer->lastData = boot_clock::now();
    if (transfer->head.status() == statusOk && !(*transfer->onData)(std::string_view(data, size * count))) {
        transfer->stoppedByConsumer = true;
        return 0;
    }
    return size * count;
}

} // namespace

struct http_stream_reader::state
{
    std::unique_ptr<CURLM, multi_deleter> multi;
    std::atomic<bool> stopped {false};
};

http_stream_reader::http_stream_reader() : m_state(std::make_unique<state>())
{
    initializeCurl();
    m_state->multi.reset(curl_multi_init());
}

http_stream_reader::~http_stream_reader() = default;

void http_stream_reader::stop()
{
    m_state->stopped = true;
    curl_multi_wakeup(m_state->multi.get());
}

result<void> http_stream_reader::run(const http_call &call, std::chrono::milliseconds idleTimeout,
                                     const std::function<bool(std::string_view)> &onData)
{
    const curl_easy_ptr handle(curl_easy_init());
    const curl_list_ptr headers = toCurlList(call.headers);
    stream_transfer transfer {&onData, boot_clock::now(), false};
    curl_easy_setopt(handle.get(), CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_HEADERFUNCTION, readHeadLine);
    curl_easy_setopt(handle.get(), CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, forwardBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &transfer);
    // The next run() must not reuse a connection that has stopped delivering data.
    curl_easy_setopt(handle.get(), CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_FORBID_REUSE, 1L);
    if (call.method != "GET") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }
    CURLM *multi = m_state->multi.get();
    curl_multi_add_handle(multi, handle.get());
    const scope_guard removeHandle([multi, &handle] { curl_multi_remove_handle(multi, handle.get()); });

    int running = 1;
    while (running > 0) {
        if (m_state->stopped) {
            return error {errc::cancelled, streamStep, call.url, {}};
        }
        const CURLMcode code = curl_multi_perform(multi, &running);
        if (code != CURLM_OK) {
            return error {errc::unavailable, streamStep, call.url, curl_multi_strerror(code)};
        }
        const auto idleTime =
            std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - transfer.lastData);
        if (running > 0 && idleTime >= idleTimeout) {
            return error {errc::timed_out, streamStep, call.url,
                          "no data for " + std::to_string(idleTime.count()) + " ms"};
        }
        if (running > 0) {
            curl_multi_poll(multi, nullptr, 0, static_cast<int>(std::max<long>(1, (idleTimeout - idleTime).count())),
                            nullptr);
        }
    }
    if (transfer.stoppedByConsumer) {
        return error {errc::cancelled, streamStep, call.url, {}};
    }
    if (!transfer.head.fault().empty()) {
        return error {errc::unavailable, streamStep, call.url, transfer.head.fault()};
    }
    int remaining = 0;
    const CURLMsg *message = curl_multi_info_read(multi, &remaining);
    if (message == nullptr || message->data.result != CURLE_OK) {
        return error {errc::unavailable, streamStep, call.url,
                      message == nullptr ? "transfer ended without a result"
                                         : curl_easy_strerror(message->data.result)};
    }
    if (!transfer.head.complete()) {
        return error {errc::unavailable, streamStep, call.url, "the connection closed within the response head"};
    }
    if (transfer.head.status() != statusOk) {
        return error {errc::unavailable, streamStep, call.url, "HTTP status " + std::to_string(transfer.head.status())};
    }
    return success();
}

} // namespace bronzechute
