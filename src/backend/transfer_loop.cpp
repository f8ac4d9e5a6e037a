#include "backend/transfer_loop.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace bronzechute {

namespace {

constexpr std::chrono::milliseconds maxPollTime {1000};

CURLM *createMulti()
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    return initialized == CURLE_OK ? curl_multi_init() : nullptr;
}

} // namespace

transfer_loop::transfer_loop(iteration_wrapper wrapper)
    : m_wrapper(std::move(wrapper))
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
    auto target = std::make_shared<running_transfer>(std::move(request), std::move(sink), m_queue);
    if (!m_queue->push({transfer_command::kind::start, target})) {
        target->fail(errc::cancelled, "the transfer loop has ended");
    }
    return target;
}

void transfer_loop::run()
{
    while (!m_queue->stopRequested()) {
        m_wrapper([this] { runIteration(); });
        curl_multi_poll(m_multi.get(), nullptr, 0, waitMilliseconds(boot_clock::now()), nullptr);
    }
    for (const transfer_command &command : m_queue->close()) {
        if (command.action == transfer_command::kind::start) {
            command.target->fail(errc::cancelled, "the transfer loop has ended");
        }
    }
    while (!m_running.empty()) {
        removeTransfer(m_running.begin()->first)->fail(errc::cancelled, "the transfer loop has ended");
    }
}

void transfer_loop::runIteration()
{
    for (const transfer_command &command : m_queue->take()) {
        apply(command);
    }
    int stillRunning = 0;
    curl_multi_perform(m_multi.get(), &stillRunning);
    reportFinished();
    failOverdue(boot_clock::now());
}

void transfer_loop::apply(const transfer_command &command)
{
    if (command.action == transfer_command::kind::start) {
        begin(command.target);
        return;
    }
    CURL *easy = command.target->easy();
    if (easy == nullptr || !m_running.contains(easy)) {
        return; // The transfer has already ended.
    }
    if (command.action == transfer_command::kind::cancel) {
        // Removing an easy handle during a transfer closes its connection.
        removeTransfer(easy)->fail(errc::cancelled, "");
        return;
    }
    const CURLcode code = command.target->unpause(boot_clock::now());
    if (code != CURLE_OK) {
        removeTransfer(easy)->finish(code);
    }
}

void transfer_loop::begin(const std::shared_ptr<running_transfer> &target)
{
    CURL *easy = target->prepare(boot_clock::now());
    if (easy == nullptr || curl_multi_add_handle(m_multi.get(), easy) != CURLM_OK) {
        target->fail(errc::unavailable, "libcurl could not start the transfer");
        return;
    }
    m_running.emplace(easy, target);
}

void transfer_loop::reportFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi.get(), &left)) {
        if (message->msg == CURLMSG_DONE) {
            const CURLcode code = message->data.result; // Removing the handle invalidates the message.
            removeTransfer(message->easy_handle)->finish(code);
        }
    }
}

void transfer_loop::failOverdue(time_point now)
{
    std::vector<std::pair<CURL *, std::string>> overdue;
    for (const auto &[easy, target] : m_running) {
        if (auto reason = target->overdue(now)) {
            overdue.emplace_back(easy, std::move(*reason));
        }
    }
    for (const auto &[easy, reason] : overdue) {
        removeTransfer(easy)->fail(errc::timed_out, reason);
    }
}

int transfer_loop::waitMilliseconds(time_point now) const
{
    time_point wake = now + maxPollTime;
    for (const auto &[easy, target] : m_running) {
        wake = std::min(wake, target->nextTimeout());
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(wake - now);
    return static_cast<int>(std::max(wait.count(), std::chrono::milliseconds::rep {0}));
}

std::shared_ptr<running_transfer> transfer_loop::removeTransfer(CURL *easy)
{
    curl_multi_remove_handle(m_multi.get(), easy);
    const auto node = m_running.extract(easy);
    return node.mapped();
}

} // namespace bronzechute
