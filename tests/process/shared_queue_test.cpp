#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>
#include <map>

namespace bronzechute::standins {
namespace {

using nlohmann::json;

constexpr std::size_t queueLength = 16;

struct shared_queue_row
{
    const char *name; ///< The failure that the row guards against.
    const char *classPriority; ///< Of the class of the account office; the other class has 5.
    const char *crowd; ///< Account whose requests wait first.
    std::size_t crowdCount;
    const char *late; ///< Account whose requests come last.
    std::size_t everyOf; ///< The late requests get at least one place in so many.
    int enginePriority; ///< Of the late requests, as the engine sees it: lower runs first.
};

class shared_queues : public testing::TestWithParam<shared_queue_row>
{
protected:
    /** Sends one completion in the background. */
    void send(const std::string &account, const std::string &prompt)
    {
        m_answers.emplace(prompt, std::async(std::launch::async, [this, account, prompt] {
                              return m_system.complete("entry-1", 2, false, prompt, "example-" + account + "-key");
                          }));
    }

    /** Waits until so many requests wait in the queue; those beyond its length have been refused. */
    bool waits(std::size_t sent)
    {
        return eventuallyTrue([&] {
            const auto ended = std::ranges::count_if(m_answers, [](const auto &each) {
                return each.second.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
            });
            return m_system.health("model-1").value("queued", std::size_t {0}) == std::min(sent, queueLength)
                && static_cast<std::size_t>(ended) == sent - std::min(sent, queueLength);
        });
    }

    local_system m_system;
    std::map<std::string, std::future<fetch_answer>> m_answers;
};

// One request occupies the stalled engine, which takes one at a time; the rest wait in the endpoint process.
TEST_P(shared_queues, giveLateRequestsTheirPlace)
{
    constexpr std::size_t lateCount = 2;
    const shared_queue_row &row = GetParam();
    m_system.startStore();
    m_system.startModel("model-1", "buda", {"--step_ms", "2"},
                        "  max_concurrency: 1\n  queue_length: " + std::to_string(queueLength) + "\n");
    m_system.startEntry("entry-1", "buda");
    std::string configuration = local_system::exampleConfiguration();
    const std::string example = "priority: 9";
    configuration.replace(configuration.find(example), example.size(), std::string("priority: ") + row.classPriority);
    m_system.apply(configuration);
    ASSERT_TRUE(m_system.waitReady("entry-1", 1));
    m_system.inject("model-1.engine", {{"stall", true}});
    send(row.crowd, "occupant");
    ASSERT_TRUE(eventuallyTrue([&] { return m_system.health("model-1").value("in_flight", 0) == 1; }));
    for (std::size_t index = 0; index < row.crowdCount; ++index) {
        send(row.crowd, "crowd " + std::to_string(index));
    }
    ASSERT_TRUE(waits(row.crowdCount)) << m_system.health("model-1");
    for (std::size_t index = 0; index < lateCount; ++index) {
        send(row.late, "late " + std::to_string(index));
    }
    ASSERT_TRUE(waits(row.crowdCount + lateCount)) << m_system.health("model-1");
    m_system.inject("model-1.engine", {{"stall", false}});
    for (auto &[prompt, answer] : m_answers) {
        const fetch_answer ended = answer.get();
        const bool refused = ended.status == 503 && findHeader(ended.headers, "X-Bronzechute-Outcome") == "not_run"
            && findHeader(ended.headers, "Retry-After");
        EXPECT_TRUE(ended.status == 200 || (refused && prompt.starts_with("crowd")))
            << prompt << ": " << ended.status << " " << ended.body;
    }
    const json started = json::parse(m_system.stats("model-1.engine"))["order"];
    std::size_t seen = 0;
    for (std::size_t position = 1; position < started.size(); ++position) { // The occupant is the first.
        if (started[position].value("prompt", "").find("late") != std::string::npos) {
            ++seen;
            EXPECT_LE(position, seen * row.everyOf) << started;
            EXPECT_EQ(started[position].value("priority", -1), row.enginePriority);
        }
    }
    EXPECT_EQ(seen, lateCount) << started;
}

INSTANTIATE_TEST_SUITE_P(
    rows, shared_queues,
    testing::Values(shared_queue_row {"urgent_class_waits_behind_the_queue", "9", "member", 6, "office", 1, 0},
                    shared_queue_row {"urgent_class_refused_by_a_full_queue", "9", "member", 24, "office", 1, 0},
                    // Shares 4 and 1: the small account gets one place in five.
                    shared_queue_row {"flood_takes_the_share_of_a_small_account", "5", "office", 12, "member", 5, 4},
                    shared_queue_row {"flood_shuts_a_small_account_out", "5", "office", 24, "member", 5, 4}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute::standins
