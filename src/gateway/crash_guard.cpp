#include "gateway/crash_guard.h"

#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>

namespace bronzechute {

crash_guard::crash_guard(boost::asio::io_context &loop, gateway_metrics &metrics)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_quarantine(std::random_device()())
    , m_detector(loop, [this](const endpoint_crash &crash) { onCrash(crash); })
{
}

void crash_guard::setListeners(std::function<void()> onOwnCrash, std::function<void()> onQuarantine)
{
    m_onOwnCrash = std::move(onOwnCrash);
    m_onQuarantine = std::move(onQuarantine);
}

std::optional<quarantined_part> crash_guard::blocking(std::span<const std::string> parts) const
{
    return m_quarantine.blocking(parts, boot_clock::now());
}

bool crash_guard::areAnswered(std::span<const std::string> parts) const
{
    return std::ranges::all_of(parts, [this](const std::string &part) { return m_quarantine.isAnswered(part); });
}

bool crash_guard::areWhollyAnswered(std::span<const std::string> parts) const
{
    return std::ranges::all_of(parts, [this](const std::string &part) { return m_quarantine.isWhollyAnswered(part); });
}

void crash_guard::onSend(const std::shared_ptr<quarantine_observer> &request)
{
    if (!request->promptParts().empty()) {
        m_quarantine.onSend(request->promptParts(), boot_clock::now());
        m_sent.insert_or_assign(request.get(), request);
    }
}

void crash_guard::onAttemptEnd(const quarantine_observer &request)
{
    m_sent.erase(&request);
}

void crash_guard::giveUpLater(const quarantined_part &entry)
{
    boost::asio::post(m_loop, [this, entry] { giveUp(entry); });
}

void crash_guard::giveUp(const quarantined_part &entry)
{
    std::vector<std::shared_ptr<quarantine_observer>> affected;
    for (const auto &[identity, sent] : m_sent) {
        const auto request = sent.lock();
        if (request != nullptr
            && std::ranges::find(request->promptParts(), entry.part) != request->promptParts().end()) {
            affected.push_back(request);
        }
    }
    for (const auto &request : affected) {
        if (m_sent.contains(request.get())) {
            request->onQuarantined(entry);
        }
    }
}

void crash_guard::onAnswerBegun(std::span<const std::string> parts)
{
    announceReleased(m_quarantine.recordBeginning(parts, boot_clock::now()));
}

void crash_guard::onAnswered(std::span<const std::string> parts)
{
    announceReleased(m_quarantine.recordAnswer(parts, boot_clock::now()));
}

void crash_guard::announceReleased(const std::vector<std::string> &parts)
{
    for (const std::string &part : parts) {
        logLine(log_level::info, "gateway", "prompt part is sound again", {{"part", part}});
        if (m_onQuarantine) {
            m_onQuarantine();
        }
    }
}

void crash_guard::onUnanswered(const gateway_endpoint &endpoint, crash_suspect suspect, attempt_end end)
{
    suspect.parts = m_quarantine.likeliest(suspect.parts, part_quarantine::maxSuspectParts);
    m_detector.onUnanswered(endpoint, std::move(suspect), end);
}

void crash_guard::onRefusedConnection(const gateway_endpoint &endpoint)
{
    m_detector.onRefusedConnection(runOf(endpoint.record));
}

void crash_guard::onRestart(const endpoint_run &ended)
{
    m_detector.onRestart(ended);
}

void crash_guard::onCrash(const endpoint_crash &crash)
{
    if (!m_quarantine.knows(crash.run)) {
        m_metrics.endpointCrashes.add();
    }
    m_quarantine.recordCrash(crash);
    update();
    if (m_onOwnCrash) {
        m_onOwnCrash();
    }
}

void crash_guard::update()
{
    announce(m_quarantine.update(boot_clock::now()), "crashes");
}

void crash_guard::merge(const crash_evidence &evidence)
{
    announce(m_quarantine.merge(evidence, boot_clock::now()), "other gateway or store");
    for (const endpoint_crash &crash : evidence.crashes) {
        m_detector.onReported(crash);
    }
    update();
}

void crash_guard::announce(const std::vector<quarantined_part> &added, const char *source)
{
    const time_point now = boot_clock::now();
    for (const quarantined_part &entry : added) {
        logLine(log_level::warn, "gateway", "prompt part crashes endpoints; its requests are refused",
                {{"part", entry.part},
                 {"source", source},
                 {"convictions", entry.convictions},
                 {"refused_s", std::chrono::duration_cast<std::chrono::seconds>(entry.until - now).count()}});
        m_metrics.quarantines.add();
        giveUpLater(entry);
    }
    if (!added.empty() && m_onQuarantine) {
        m_onQuarantine();
    }
}

crash_evidence crash_guard::evidence()
{
    return m_quarantine.evidence(boot_clock::now());
}

} // namespace bronzechute
