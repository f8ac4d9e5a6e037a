#include "gateway_harness.h"
#include "quarantine/part_quarantine.h"
#include "scripted_answers.h"
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

    void crashAfter(int events)
    {
        for (crashing_engine &engine : m_engines) {
            engine.crashAfter(events);
        }
    }

    void beginEarly()
    {
        for (crashing_engine &engine : m_engines) {
            engine.beginEarly();
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
            count += std::ranges::count_if(
                prompts, [&](const std::string &prompt) { return prompt.find("," + part + ":") != std::string::npos; });
        }
        return count;
    }

    /** Serves sound requests until the gateway knows which parts of prompts are answered. */
    void learnPopularPrompts()
    {
        const auto end = boot_clock::now() + part_quarantine::learningTime + 100ms;
        while (boot_clock::now() < end) {
            EXPECT_EQ(ask("system:40,popular:9,own:7").status, 200);
            std::this_thread::sleep_for(100ms);
        }
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

/** @returns a prompt that shares its first part with all others and its second one with some. */
std::string promptOf(const std::string &part, int own)
{
    return "system:40," + part + ":9,own" + std::to_string(own) + ":7";
}

struct bad_requests_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<std::string> deadly;
    int requests; ///< With a deadly part, one after the other.
    std::chrono::milliseconds pause;
    int events = 0; ///< That an engine sends before the part ends it.
};

class crashing_prompt : public testing::TestWithParam<bad_requests_row>
{
};

TEST_P(crashing_prompt, reachesEnginesAtMostThreeTimesAfterFiveCrashes)
{
    crashing_engines site;
    site.setDeadly({GetParam().deadly.begin(), GetParam().deadly.end()});
    site.crashAfter(GetParam().events);
    site.learnPopularPrompts();
    std::map<std::string, std::ptrdiff_t> arrivalsAtFifthCrash;
    for (int request = 0; request < GetParam().requests; ++request) {
        for (const std::string &part : GetParam().deadly) {
            const caller_answer refused = site.ask(promptOf(part, request));
            EXPECT_FALSE(refused.complete && refused.status == 200);
            site.ask(promptOf("sound", request));
            std::this_thread::sleep_for(GetParam().pause);
            if (site.crashes() >= acceptedCrashes) {
                arrivalsAtFifthCrash.try_emplace(part, site.arrivalsOf(part));
            }
        }
    }
    for (const auto &[part, arrivals] : arrivalsAtFifthCrash) {
        EXPECT_LE(site.arrivalsOf(part), arrivals + acceptedRequestsLater) << part;
    }
    EXPECT_EQ(site.ask("system:40,own:7").status, 200);
}

INSTANTIATE_TEST_SUITE_P(
    rows, crashing_prompt,
    testing::Values(bad_requests_row {"one_part_crashes_engine_after_engine", {"bad"}, 40, 30ms},
                    bad_requests_row {"many_requests_crash_all_engines", {"bad"}, 100, 1ms},
                    bad_requests_row {"few_requests_are_forgotten", {"bad"}, 5, 600ms},
                    bad_requests_row {"two_parts_hide_each_other", {"bad1", "bad2"}, 20, 30ms},
                    bad_requests_row {"crash_after_two_events_clears_its_part", {"bad"}, 40, 30ms, 2},
                    bad_requests_row {"crash_after_four_events_clears_its_part", {"bad"}, 40, 30ms, 4},
                    bad_requests_row {"crash_at_the_end_clears_its_part", {"bad"}, 40, 30ms, 5},
                    bad_requests_row {"few_late_crashes_are_forgotten", {"bad"}, 8, 600ms, 3},
                    bad_requests_row {"two_late_parts_hide_each_other", {"bad1", "bad2"}, 20, 30ms, 2}),
    [](const auto &row) { return std::string(row.param.name); });

struct position_row
{
    const char *name; ///< Failure that the row guards against.
    int before; ///< Sound parts before the one that crashes engines.
    int behind; ///< Sound parts between it and the last one.
};

class quarantined_position : public testing::TestWithParam<position_row>
{
protected:
    static std::string soundParts(const std::string &name, int count)
    {
        std::string parts;
        for (int number = 0; number < count; ++number) {
            parts += name + std::to_string(number) + ":9,";
        }
        return parts;
    }
};

// A part of which only the first sixteen of a prompt were remembered crashed engine after engine.
TEST_P(quarantined_position, isRefusedWhereverItStands)
{
    const std::string before = soundParts("before", GetParam().before);
    const std::string behind = soundParts("behind", GetParam().behind);
    crashing_engines site;
    site.learnPopularPrompts();
    site.setDeadly({"bad"});
    EXPECT_EQ(site.ask(before + behind + "own:7").status, 200);
    EXPECT_NE(site.ask(before + "bad:9," + behind + "own1:7").status, 200);
    EXPECT_LT(site.crashes(), acceptedCrashes);
    std::this_thread::sleep_for(2 * crashing_engine::downtime);
    const caller_answer refused = site.ask(before + "bad:9," + behind + "own2:7");
    EXPECT_EQ(refused.status, 503);
    EXPECT_NE(refused.body.find("\"part\":\"bad\""), std::string::npos) << refused.body;
    EXPECT_EQ(site.ask(before + behind + "own:7").status, 200);
}

INSTANTIATE_TEST_SUITE_P(rows, quarantined_position,
                         testing::Values(position_row {"sixteenth_part_is_forgotten", 15, 0},
                                         position_row {"seventeenth_part_is_forgotten", 16, 0},
                                         position_row {"part_before_many_others_is_forgotten", 20, 60},
                                         position_row {"part_behind_hundreds_is_forgotten", 400, 20}),
                         [](const auto &row) { return std::string(row.param.name); });

// An engine that sends its head at once and crashes after the first event has begun that answer as well.
TEST(quarantined_prompt, isRefusedAfterACrashWithItsFirstEvent)
{
    crashing_engines site;
    site.learnPopularPrompts();
    site.beginEarly();
    site.setDeadly({"bad"});
    EXPECT_FALSE(site.ask(promptOf("bad", 1)).complete);
    const int crashes = site.crashes();
    EXPECT_LT(crashes, acceptedCrashes);
    std::this_thread::sleep_for(2 * crashing_engine::downtime);
    const caller_answer refused = site.ask(promptOf("bad", 2));
    EXPECT_EQ(refused.status, 503);
    EXPECT_NE(refused.body.find("\"part\":\"bad\""), std::string::npos) << refused.body;
    EXPECT_EQ(site.ask("system:40,own:7").status, 200);
}

TEST(quarantined_prompt, isRefusedAtOnceWithATrueReason)
{
    crashing_engines site;
    site.setDeadly({"bad"});
    site.learnPopularPrompts();
    site.ask("system:40,bad:9,own1:7");
    const auto begin = boot_clock::now();
    const caller_answer refused = site.ask("system:40,bad:9,own2:7");
    EXPECT_LT(boot_clock::now() - begin, 100ms);
    EXPECT_EQ(refused.status, 503);
    EXPECT_FALSE(refused.header("retry-after").empty());
    EXPECT_NE(refused.body.find("\"code\":\"prompt_part_quarantined\""), std::string::npos) << refused.body;
    EXPECT_NE(refused.body.find("\"part\":\"bad\""), std::string::npos) << refused.body;
}

TEST(quarantined_prompt, doesNotHoldBackWhatSharesItsOtherParts)
{
    crashing_engines site;
    site.setDeadly({"bad"});
    site.learnPopularPrompts();
    for (int request = 0; request < 10; ++request) {
        site.ask("system:40,bad:9,own:7");
        EXPECT_EQ(site.ask("system:40,own:7").status, 200);
        EXPECT_EQ(site.ask("system:40,sound:9,own:7").status, 200);
    }
}

TEST(popular_prompt, isServedAlthoughEnginesCrashForOtherReasons)
{
    crashing_engines site;
    site.learnPopularPrompts();
    int served = 0;
    constexpr int rounds = 8;
    for (int round = 0; round < rounds; ++round) {
        std::thread caller([&] { site.ask("system:40,popular:9,own:7"); });
        std::this_thread::sleep_for(crashing_engine::downtime / 10);
        site.crashAll();
        caller.join();
        std::this_thread::sleep_for(2 * crashing_engine::downtime);
        served += site.ask("system:40,popular:9,own:7").status == 200 ? 1 : 0;
    }
    EXPECT_EQ(served, rounds);
}

TEST(popular_prompt, isServedAlthoughAnswersAreLost)
{
    std::atomic<bool> loses {false};
    standins::scripted_server only(
        [&](const standins::scripted_request &request, standins::raw_connection &connection) {
            connection.send(streamHead(request));
            if (loses) {
                return false;
            }
            return connection.send(chunk(eventRange(1, 3)) + "0\r\n\r\n");
        });
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", only.address());
    const auto ask = [&gateway](const std::string &prompt) {
        return gateway.request("POST", "/stream/x", std::string(callerHeaders) + "X-Prompt-Parts: " + prompt + "\r\n",
                               "prompt");
    };
    for (int request = 0; request < 30; ++request) {
        ask("system:40,own:7");
        std::this_thread::sleep_for(100ms);
    }
    loses = true;
    for (int request = 0; request < 6; ++request) {
        EXPECT_NE(ask("system:40,rare:7,own:7").status, 200);
    }
    loses = false;
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(ask("system:40,rare:7,own:7").status, 200);
}

} // namespace

} // namespace bronzechute
