#include "backend/transfer_loop.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds longestWait {1000};

CURLM *createMulti()
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    return initialized == CURLE_OK ? curl_multi_init() : nullptr;
}

} // namespace

transfer_loop::transfer_loop(round_runner around)
    : m_around(std::move(around))
    , m_multi(createMulti())
    , m_queue(std::make_shared<transfer_queue>(m_multi.get()))
    , m_thread([this] { run(); })
{
}

transfer_loop::~transfer_loop()
{
    m_queue->requestStop();
    m_thread.join();
}

std::shared_ptr<transfer> transfer_loop::start(transfer_request request, std::shared_ptr<answer_sink> sink)
{
    auto subject = std::make_shared<running_transfer>(std::move(request), std::move(sink), m_queue);
    if (!m_queue->push({transfer_command::kind::start, subject})) {
        subject->fail(errc::cancelled, "the transfer loop has ended");
    }
    return subject;
}

void transfer_loop::run()
{
    while (!m_queue->stopRequested()) {
        m_around([this] { runRound(); });
        curl_multi_poll(m_multi.get(), nullptr, 0, waitMilliseconds(boot_clock::now()), nullptr);
    }
    for (const transfer_command &command : m_queue->close()) {
        if (command.what == transfer_command::kind::start) {
            command.subject->fail(errc::cancelled, "the transfer loop has ended");
        }
    }
    while (!m_running.empty()) {
        release(m_running.begin()->first)->fail(errc::cancelled, "the transfer loop has ended");
    }
}

void transfer_loop::runRound()
{
    for (const transfer_command &command : m_queue->take()) {
        apply(command);
    }
    int stillRunning = 0;
    curl_multi_perform(m_multi.get(), &stillRunning);
    collectFinished();
    endOverdue(boot_clock::now());
}

void transfer_loop::apply(const transfer_command &command)
{
    if (command.what == transfer_command::kind::start) {
        begin(command.subject);
        return;
    }
    CURL *easy = command.subject->easy();
    if (easy == nullptr || !m_running.contains(easy)) {
        return; // The transfer has ended by itself.
    }
    if (command.what == transfer_command::kind::cancel) {
        // Removing a handle in the middle of a transfer closes its connection.
        release(easy)->fail(errc::cancelled, "");
        return;
    }
    const CURLcode code = command.subject->unpause(boot_clock::now());
    if (code != CURLE_OK) {
        release(easy)->finish(code);
    }
}

void transfer_loop::begin(const std::shared_ptr<running_transfer> &subject)
{
    CURL *easy = subject->prepare(boot_clock::now());
    if (easy == nullptr || curl_multi_add_handle(m_multi.get(), easy) != CURLM_OK) {
        subject->fail(errc::unavailable, "libcurl could not start the transfer");
        return;
    }
    m_running.emplace(easy, subject);
}

void transfer_loop::collectFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi.get(), &left)) {
        if (message->msg == CURLMSG_DONE) {
            const CURLcode code = message->data.result; // Removing the handle invalidates the message.
            release(message->easy_handle)->finish(code);
        }
    }
}

void transfer_loop::endOverdue(time_point now)
{
    std::vector<std::pair<CURL *, std::string>> overdue;
    for (const auto &[easy, subject] : m_running) {
        if (auto reason = subject->overdue(now)) {
            overdue.emplace_back(easy, std::move(*reason));
        }
    }
    for (const auto &[easy, reason] : overdue) {
        release(easy)->fail(errc::timed_out, reason);
    }
}

int transfer_loop::waitMilliseconds(time_point now) const
{
    time_point wake = now + longestWait;
    for (const auto &[easy, subject] : m_running) {
        wake = std::min(wake, subject->nextTimeout());
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(wake - now);
    return static_cast<int>(std::max(wait.count(), std::chrono::milliseconds::rep {0}));
}

std::shared_ptr<running_transfer> transfer_loop::release(CURL *easy)
{
    curl_multi_remove_handle(m_multi.get(), easy);
    const auto node = m_running.extract(easy);
    return node.mapped();
}

} // namespace bronzechute
