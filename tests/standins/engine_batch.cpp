#include "standins/engine_batch.h"

#include <algorithm>
#include <mutex>

namespace bronzechute::standins {

namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr std::chrono::milliseconds faultPoll {5};

} // namespace

engine_batch::engine_batch(const model_engine_options &options, fault_board &faults)
    : m_options(options), m_faults(faults), m_cache(options.cacheBlocks), m_coldRequests(options.coldRequests)
{
    m_thread = std::thread([this] { run(); });
}

engine_batch::~engine_batch()
{
    stop();
}

void engine_batch::add(const std::shared_ptr<engine_sequence> &sequence)
{
    const std::scoped_lock lock(m_mutex);
    if (m_stopped) {
        sequence->stop();
        return;
    }
    const auto position = std::ranges::find_if(
        m_waiting, [&sequence](const auto &other) { return other->priority > sequence->priority; });
    m_waiting.insert(position, sequence);
    ++m_stats.started;
    notePeak(boot_clock::now());
    m_changed.notify_all();
}

void engine_batch::cancel(const std::shared_ptr<engine_sequence> &sequence)
{
    const std::scoped_lock lock(m_mutex);
    if (std::erase(m_waiting, sequence) + std::erase(m_running, sequence) > 0) {
        ++m_stats.cancelled;
        sequence->stop();
        record(boot_clock::now());
    }
}

void engine_batch::turnCold(int requests)
{
    const std::scoped_lock lock(m_mutex);
    m_coldRequests = std::max(requests, 0);
    m_cache.clear();
}

engine_batch_stats engine_batch::stats()
{
    const std::scoped_lock lock(m_mutex);
    return current();
}

engine_batch_stats engine_batch::laggedStats()
{
    const std::scoped_lock lock(m_mutex);
    const time_point limit = boot_clock::now() - m_options.metricsLag;
    while (m_history.size() > 1 && m_history[1].when <= limit) {
        m_history.pop_front();
    }
    return !m_history.empty() && m_history.front().when <= limit ? m_history.front().stats : engine_batch_stats {};
}

void engine_batch::waitWhileFallenOver()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped && boot_clock::now() < m_fallenUntil) {
        m_changed.wait_for(lock, m_fallenUntil - boot_clock::now());
    }
}

std::vector<std::shared_ptr<engine_sequence>> engine_batch::sequences()
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::shared_ptr<engine_sequence>> all(m_running);
    all.insert(all.end(), m_waiting.begin(), m_waiting.end());
    return all;
}

void engine_batch::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopped = true;
        for (const auto &sequence : m_running) {
            sequence->stop();
        }
        for (const auto &sequence : m_waiting) {
            sequence->stop();
        }
        m_changed.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void engine_batch::run()
{
    std::unique_lock lock(m_mutex);
    time_point lastStep = boot_clock::now();
    while (!m_stopped) {
        const time_point now = boot_clock::now();
        if (m_running.empty() && m_waiting.empty()) {
            m_changed.wait(lock);
            lastStep = boot_clock::now();
        } else if (now < m_fallenUntil) {
            m_changed.wait_for(lock, m_fallenUntil - now);
        } else if (m_faults.current().stall) {
            m_changed.wait_for(lock, faultPoll);
        } else {
            admit(now);
            // Counting from the last step keeps the pace when the thread wakes late; a long halt is not made up for.
            const auto duration = stepTime();
            const time_point due = std::max(lastStep + duration, now);
            while (!m_stopped && boot_clock::now() < due) {
                m_changed.wait_for(lock, due - boot_clock::now());
            }
            lastStep = due;
            step(boot_clock::now());
        }
    }
}

void engine_batch::admit(time_point now)
{
    const std::size_t before = m_running.size();
    while (!m_waiting.empty() && m_running.size() < m_options.maximumBatch) {
        const auto sequence = m_waiting.front();
        m_waiting.pop_front();
        const std::size_t cached = m_cache.touch(sequence->prompt);
        m_stats.cachedPrompts += cached > 0 ? 1 : 0;
        const auto tokens = static_cast<std::int64_t>((sequence->prompt.size() - cached) / bytesPerToken);
        sequence->prefillDone = now + tokens * m_options.prefillPerToken;
        m_running.push_back(sequence);
    }
    if (m_coldRequests > 0 && m_running.size() > std::max(before, m_options.coldLimit)) {
        m_fallenUntil = now + m_options.fallOver;
        ++m_stats.fallOvers;
        m_changed.notify_all();
    }
}

void engine_batch::step(time_point now)
{
    if (now < m_fallenUntil) {
        return;
    }
    ++m_stats.steps;
    const double stepSeconds = std::chrono::duration<double>(stepTime()).count();
    std::erase_if(m_running, [&](const auto &sequence) {
        if (now < sequence->prefillDone) {
            return false;
        }
        ++m_stats.tokens;
        m_stats.tokenSeconds += stepSeconds;
        if (!sequence->addToken()) {
            return false;
        }
        ++m_stats.completed;
        m_coldRequests = std::max(m_coldRequests - 1, 0);
        return true;
    });
    record(now);
}

std::chrono::nanoseconds engine_batch::stepTime() const
{
    const auto further = static_cast<std::int64_t>(m_running.empty() ? 0 : m_running.size() - 1);
    const double factor = m_faults.current().slowFactor * (m_coldRequests > 0 ? m_options.coldFactor : 1);
    const std::chrono::duration<double, std::micro> time = factor * (m_options.step + further * m_options.stepGrowth);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

engine_batch_stats engine_batch::current() const
{
    engine_batch_stats stats = m_stats;
    stats.running = m_running.size();
    stats.waiting = m_waiting.size();
    stats.cacheUsage = m_cache.usage();
    stats.cold = m_coldRequests > 0;
    return stats;
}

void engine_batch::notePeak(time_point now)
{
    const std::size_t count = m_running.size() + m_waiting.size();
    m_stats.peak = std::max(m_stats.peak, count);
    if (m_coldRequests > 0) {
        m_stats.peakWhileCold = std::max(m_stats.peakWhileCold, count);
    }
    record(now);
}

void engine_batch::record(time_point now)
{
    m_history.push_back({now, current()});
    while (m_history.size() > 1 && m_history[1].when <= now - m_options.metricsLag) {
        m_history.pop_front();
    }
}

} // namespace bronzechute::standins
