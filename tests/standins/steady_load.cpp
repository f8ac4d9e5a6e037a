#include "standins/steady_load.h"

namespace bronzechute::standins {

steady_load::steady_load(local_system &system, const std::vector<std::string> &entries, int callersOfEach, int tokens)
{
    for (const std::string &entry : entries) {
        for (int caller = 0; caller < callersOfEach; ++caller) {
            // The prompts differ, so that no cached prefix binds them to one endpoint.
            m_callers.emplace_back([this, &system, entry, tokens, caller] {
                for (int round = 0; !m_stopped; ++round) {
                    record(system.complete(entry, tokens, false,
                                           entry + " " + std::to_string(caller) + " " + std::to_string(round)));
                }
            });
        }
    }
}

steady_load::~steady_load()
{
    stop();
}

void steady_load::stop()
{
    m_stopped = true;
    m_callers.clear();
}

std::string steady_load::wrongAnswers()
{
    const std::scoped_lock lock(m_mutex);
    return m_wrong;
}

void steady_load::record(const fetch_answer &answer)
{
    ++m_count;
    const bool refused = answer.status == 503 && findHeader(answer.headers, "Retry-After")
        && findHeader(answer.headers, "X-Bronzechute-Outcome") == "not_run";
    if (answer.status != 200 && !refused) {
        const std::scoped_lock lock(m_mutex);
        m_wrong += std::to_string(answer.status) + " " + answer.body + "\n";
    }
    if (answer.status != 200) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace bronzechute::standins
