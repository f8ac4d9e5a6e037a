#include "backend/running_transfer.h"

#include "http/hop_by_hop.h"

#include <algorithm>
#include <utility>

namespace bronzechute {

namespace {

constexpr const char *transferStep = "backend.transfer";

errc errorCodeOf(CURLcode code, bool sent)
{
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return errc::timed_out;
    case CURLE_URL_MALFORMAT:
        return errc::invalid_argument;
    case CURLE_UNSUPPORTED_PROTOCOL:
        // libcurl also uses this code for an answer without a status line, which it takes for HTTP 0.9.
        return sent ? errc::protocol_violation : errc::invalid_argument;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_HTTP2:
        return errc::protocol_violation;
    default:
        return errc::unavailable;
    }
}

bool hasNoLineBreak(std::string_view text)
{
    return text.find_first_of("\r\n") == std::string_view::npos;
}

} // namespace

running_transfer::running_transfer(transfer_request request, std::shared_ptr<answer_sink> sink,
                                   std::shared_ptr<transfer_queue> queue)
    : m_request(std::move(request)), m_sink(std::move(sink)), m_queue(std::move(queue))
{
}

void running_transfer::cancel()
{
    m_cancelled = true;
    m_queue->push({transfer_command::kind::cancel, shared_from_this()});
}

void running_transfer::pause()
{
    // onBody() checks the flag when bytes arrive; there is nothing to pause before that.
    m_paused = true;
}

void running_transfer::resume()
{
    if (m_paused.exchange(false)) {
        m_queue->push({transfer_command::kind::resume, shared_from_this()});
    }
}

CURL *running_transfer::prepare(time_point now)
{
    m_lastByte = now;
    m_deadline = now + m_request.deadline;
    m_easy.reset(curl_easy_init());
    CURL *easy = m_easy.get();
    if (easy == nullptr) {
        return nullptr;
    }
    curl_easy_setopt(easy, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PROXY, ""); // Ignore proxy settings from the environment.
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, m_errorText);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    if (!m_request.mayRepeat) {
        // When a reused connection closes before the first byte of the answer, libcurl sends the request again, even a
        // POST, although the server may have run it already. libcurl does not do so on a new connection, which cannot
        // have been closed for idleness. A new connection on the loopback interface is cheap. It is closed after use,
        // because only repeatable requests could reuse it.
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    setMethod();
    setHeaders();
    return easy;
}

void running_transfer::setMethod()
{
    CURL *easy = m_easy.get();
    if (m_request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (m_request.method == "POST" || !m_request.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, m_request.body.data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
}

void running_transfer::setHeaders()
{
    curl_slist *list = nullptr;
    // Remove the headers that libcurl adds by default: it would wait for "100 Continue" before a large body, and would
    // set its own content type.
    list = curl_slist_append(list, "Expect:");
    if (!findHeader(m_request.headers, "content-type")) {
        list = curl_slist_append(list, "Content-Type:");
    }
    if (!findHeader(m_request.headers, "accept")) {
        list = curl_slist_append(list, "Accept:");
    }
    for (const auto &[name, value] : withoutHopByHopHeaders(m_request.headers)) {
        // libcurl sets these headers from the URL and the body.
        const bool ownedByCurl = headerNamesEqual(name, "host") || headerNamesEqual(name, "content-length")
            || headerNamesEqual(name, "expect");
        if (ownedByCurl || name.empty() || !hasNoLineBreak(name) || !hasNoLineBreak(value)) {
            continue;
        }
        // For libcurl, "Name;" is a header with an empty value, while "Name:" removes the header.
        std::string line = name;
        line.append(value.empty() ? ";" : ": ").append(value);
        list = curl_slist_append(list, line.c_str());
    }
    m_headers.reset(list);
    curl_easy_setopt(m_easy.get(), CURLOPT_HTTPHEADER, list);
}

CURLcode running_transfer::unpause(time_point now)
{
    m_lastByte = now;
    return curl_easy_pause(m_easy.get(), CURLPAUSE_CONT);
}

time_point running_transfer::nextTimeout() const
{
    return m_paused ? m_deadline : std::min(m_deadline, m_lastByte + m_request.idleTimeout);
}

std::optional<std::string> running_transfer::overdue(time_point now) const
{
    if (now >= m_deadline) {
        return "no complete answer within " + std::to_string(m_request.deadline.count()) + " ms";
    }
    // A paused transfer receives nothing, so the idle timeout does not apply.
    if (!m_paused && now >= m_lastByte + m_request.idleTimeout) {
        return "no data received for " + std::to_string(m_request.idleTimeout.count()) + " ms";
    }
    return std::nullopt;
}

void running_transfer::finish(CURLcode code)
{
    if (m_cancelled) {
        fail(errc::cancelled, "");
    } else if (!m_head.fault().empty()) {
        fail(errc::protocol_violation, m_head.fault());
    } else if (code != CURLE_OK) {
        fail(errorCodeOf(code, m_sendStarted), m_errorText[0] != '\0' ? m_errorText : curl_easy_strerror(code));
    } else if (!m_head.complete()) {
        fail(errc::unavailable, "the connection closed before the head of the answer was complete");
    } else {
        m_easy.reset();
        m_sink->onEnd();
    }
}

void running_transfer::fail(errc code, const std::string &detail)
{
    m_easy.reset();
    m_sink->onError(error {code, transferStep, m_request.url, detail}, m_sendStarted);
}

std::size_t running_transfer::onHeaderLine(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<running_transfer *>(self);
    transfer->m_lastByte = boot_clock::now();
    return transfer->addHeaderLine({data, size * count}) ? size * count : 0;
}

bool running_transfer::addHeaderLine(std::string_view line)
{
    const bool wasComplete = m_head.complete();
    if (!m_head.addLine(line)) {
        return false;
    }
    if (m_head.complete() && !wasComplete) {
        m_sink->onHead(m_head.status(), withoutHopByHopHeaders(m_head.fields()));
    }
    return true;
}

std::size_t running_transfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<running_transfer *>(self);
    if (transfer->m_cancelled) {
        return 0;
    }
    if (transfer->m_paused) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer->m_lastByte = boot_clock::now();
    if (!transfer->m_sink->onBytes({data, size * count})) {
        transfer->m_cancelled = true;
        return 0;
    }
    return size * count;
}

int running_transfer::onBeforeSend(void *self, char *, char *, int, int)
{
    auto *transfer = static_cast<running_transfer *>(self);
    if (transfer->m_sendStarted && !transfer->m_request.mayRepeat) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->m_sendStarted = true;
    return CURL_PREREQFUNC_OK;
}

} // namespace bronzechute
