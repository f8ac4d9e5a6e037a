#pragma once

#include "base/boot_clock.h"
#include "standins/local_system.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <thread>

namespace bronzechute::bench {

/** Notes when engines last began a request, from its construction on, to about 20 ms. */
class work_watch
{
public:
    work_watch(standins::local_system &system, std::vector<std::string> engines)
        : m_system(system), m_engines(std::move(engines)), m_begin(boot_clock::now()), m_last(m_begin)
    {
        m_thread = std::jthread([this](const std::stop_token &stop) { run(stop); });
    }

    /** @returns the time from the construction to the last new request so far. */
    std::chrono::duration<double> lastWork()
    {
        const std::scoped_lock lock(m_mutex);
        return m_last - m_begin;
    }

private:
    void run(const std::stop_token &stop)
    {
        std::uint64_t known = started();
        while (!stop.stop_requested()) {
            const std::uint64_t now = started();
            if (now != known) {
                const std::scoped_lock lock(m_mutex);
                m_last = boot_clock::now();
                known = now;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    std::uint64_t started()
    {
        std::uint64_t sum = 0;
        for (const std::string &engine : m_engines) {
            sum += nlohmann::json::parse(m_system.stats(engine), nullptr, false).value("started", std::uint64_t {0});
        }
        return sum;
    }

    standins::local_system &m_system;
    const std::vector<std::string> m_engines;
    const time_point m_begin;
    std::mutex m_mutex;
    time_point m_last;
    std::jthread m_thread;
};

} // namespace bronzechute::bench
