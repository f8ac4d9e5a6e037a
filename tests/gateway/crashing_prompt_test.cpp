#include "gateway_harness.h"
#include "standins/crashing_engine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <thread>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;
using standins::crashing_engine;

// What the users accept: requests with a part that reach engines after it has crashed five.
constexpr int acceptedCrashes = 5;
constexpr int acceptedRequestsLater = 3;

/** A gateway and engines that deadly prompt parts crash. */
class crashing_engines
{
public:
    crashing_engines()
    {
        m_gateway.applyDocument(gateway_harness::defaultDocument());
        for (int index = 0; index < 4; ++index) {
            const std::string id = "engine-" + std::to_string(index);
            m_engines.emplace_back([this, id, index](int start) {
                const std::scoped_lock lock(m_mutex);
                m_started.emplace_back(index, start);
            });
            m_gateway.addEndpoint(id, m_engines.back().address(), "service", 1);
        }
    }

    void setDeadly(const std::set<std::string> &parts)
    {
        for (crashing_engine &engine : m_engines) {
            engine.setDeadly(parts);
        }
    }

    /** Lists the engines that have started again, as the platform's directory does. */
    void listRestarted()
    {
        std::vector<std::pair<int, int>> started;
        {
            const std::scoped_lock lock(m_mutex);
            started.swap(m_started);
        }
        for (const auto &[index, start] : started) {
            if (start > 0) {
                m_gateway.addEndpoint("engine-" + std::to_string(index), m_engines[index].address(), "service",
                                      start + 1);
            }
        }
    }

    caller_answer ask(const std::string &prompt)
    {
        listRestarted();
        return m_gateway.request("POST", "/stream/x",
                                 "X-Request-Id: r" + std::to_string(++m_requests)
                                     + "\r\nX-Timeout-Ms: 1500\r\nX-Prompt-Parts: " + prompt + "\r\n",
                                 "prompt");
    }

    int crashes() const
    {
        int sum = 0;
        for (const crashing_engine &engine : m_engines) {
            sum += engine.crashes();
        }
        return sum;
    }

    /** @returns the requests with the part that reached any engine. */
    std::ptrdiff_t arrivalsOf(const std::string &part)
    {
        std::ptrdiff_t count = 0;
        for (crashing_engine &engine : m_engines) {
            const auto prompts = engine.prompts();
            count += std::ranges::count_if(prompts, [&](const std::string &prompt) {
                return ("," + prompt).find("," + part + ":") != std::string::npos;
            });
        }
        return count;
    }

    void crashAll()
    {
        for (crashing_engine &engine : m_engines) {
            engine.crash();
        }
    }

private:
    std::mutex m_mutex;
    std::vector<std::pair<int, int>> m_started;
    std::deque<crashing_engine> m_engines;
    gateway_harness m_gateway;
    int m_requests = 0;
};

TEST(crashing_prompt, reachesEnginesAtMostThreeTimesAfterFiveCrashes)
{
    crashing_engines site;
    site.setDeadly({"bad"});
    std::ptrdiff_t arrivalsAtFifthCrash = -1;
    for (int request = 0; request < 40; ++request) {
        const std::string own = std::to_string(request);
        site.ask("system:40,bad:9,own" + own + ":7");
        site.ask("system:40,own" + own + "s:7");
        std::this_thread::sleep_for(30ms);
        if (arrivalsAtFifthCrash < 0 && site.crashes() >= acceptedCrashes) {
            arrivalsAtFifthCrash = site.arrivalsOf("bad");
        }
    }
    if (arrivalsAtFifthCrash >= 0) {
        EXPECT_LE(site.arrivalsOf("bad"), arrivalsAtFifthCrash + acceptedRequestsLater);
    }
    EXPECT_EQ(site.ask("system:40,own:7").status, 200);
}

} // namespace

} // namespace bronzechute
