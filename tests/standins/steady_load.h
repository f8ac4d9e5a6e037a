#pragma once

#include "standins/local_system.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute::standins {

/** Callers that send one completion after the other through the entries until stopped. */
class steady_load
{
public:
    steady_load(local_system &system, const std::vector<std::string> &entries, int callersOfEach, int tokens = 5);
    ~steady_load();
    steady_load(const steady_load &) = delete;
    steady_load &operator=(const steady_load &) = delete;

    void stop();

    int count() const
    {
        return m_count;
    }

    /** @returns the answers other than 200 and a refusal as not run with Retry-After, one a line. */
    std::string wrongAnswers();

private:
    void record(const fetch_answer &answer);

    std::atomic<bool> m_stopped {false};
    std::atomic<int> m_count {0};
    std::mutex m_mutex;
    std::string m_wrong;
    std::vector<std::jthread> m_callers;
};

} // namespace bronzechute::standins
