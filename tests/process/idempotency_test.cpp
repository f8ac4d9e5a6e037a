#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

namespace bronzechute::standins {
namespace {

using namespace std::chrono_literals;

/** How a request with an idempotency key may end. */
enum ending : unsigned {
    answered = 1,
    replayed = 2,
    in_progress = 4,
    unknown = 8,
    not_run = 16,
    reused = 32,
    cut = 64,
    streamed = 128 ///< Whole, and too long to be announced as answered before it has been relayed.
};

unsigned endingOf(const fetch_answer &answer)
{
    if (answer.code != CURLE_OK || answer.status == 0) {
        return cut;
    }
    const std::string outcome = findHeader(answer.headers, "X-Bronzechute-Outcome").value_or("");
    if (outcome == "answered") {
        return findHeader(answer.headers, "X-Bronzechute-Replayed") ? replayed : answered;
    }
    if (outcome.empty() && answer.status == 201) {
        return streamed;
    }
    if (answer.status == 422) {
        return reused;
    }
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body["error"].value("code", "") == "in_progress") {
        return in_progress;
    }
    return outcome == "not_run" ? not_run : unknown;
}

struct repeat_row
{
    const char *name; ///< The failure that the row guards against.
    std::vector<std::string> serviceFlags;
    std::function<void(local_system &)> before; ///< Before the first request; may be empty.
    std::function<void(local_system &)> during; ///< While the service works; when set, the second is sent then too.
    std::function<void(local_system &)> after; ///< After the first request ended; may be empty.
    unsigned first; ///< Endings that are allowed for the first request,
    unsigned second; ///< for the second,
    unsigned last; ///< and for the one that they have to reach.
    std::string secondText = "envelopes";
};

class repeated_orders : public testing::TestWithParam<repeat_row>
{
};

TEST_P(repeated_orders, runOnceAndGetTheFirstAnswer)
{
    const repeat_row &row = GetParam();
    local_system system;
    system.startStore();
    system.startService("office-1", "buda", row.serviceFlags);
    system.startEntry("entry-1", "buda");
    system.startEntry("entry-2", "buda");
    system.apply(local_system::exampleConfiguration());
    ASSERT_TRUE(system.waitReady("entry-1", 1) && system.waitReady("entry-2", 1));
    const header_list key {{"Idempotency-Key", "booking-17"}};
    const auto ordersRun = [&] {
        return nlohmann::json::parse(system.stats("office-1.engine"))["orders_by_key"].value("booking-17", 0);
    };
    if (row.before) {
        row.before(system);
    }
    auto started = std::async(std::launch::async, [&] { return system.order("entry-1", "envelopes", key, 30s); });
    fetch_answer first;
    fetch_answer second;
    if (row.during) {
        ASSERT_TRUE(eventuallyTrue(
            [&] { return nlohmann::json::parse(system.stats("office-1.engine")).value("active", 0) > 0; }));
        row.during(system);
        second = system.order("entry-2", row.secondText, key);
        first = started.get();
    } else {
        first = started.get();
    }
    if (row.after) {
        row.after(system);
    }
    if (!row.during) {
        second = system.order("entry-2", row.secondText, key);
    }
    const unsigned firstEnd = endingOf(first);
    const unsigned secondEnd = endingOf(second);
    EXPECT_TRUE(firstEnd & row.first) << "the first ended as " << firstEnd << ": " << first.body;
    EXPECT_TRUE(secondEnd & row.second) << "the second ended as " << secondEnd << ": " << second.body;
    if (secondEnd == replayed) {
        EXPECT_EQ(second.body, first.body);
        EXPECT_EQ(second.status, first.status);
    }
    fetch_answer last;
    EXPECT_TRUE(eventuallyTrue([&] {
        last = system.order("entry-1", row.secondText, key);
        return (endingOf(last) & row.last) != 0;
    })) << "a later request ended as "
        << endingOf(last) << ": " << last.body;
    EXPECT_LE(ordersRun(), 1);
    if ((firstEnd | secondEnd | endingOf(last)) & (answered | replayed | streamed)) {
        EXPECT_EQ(ordersRun(), 1);
    }
    if (firstEnd & (answered | streamed)) {
        EXPECT_TRUE(nlohmann::json::accept(first.body)) << "not the whole answer: " << first.body.size() << " bytes";
    }
}

const std::vector<std::string> slowWork {"--work_ms", "1500"};

/** Lets the entry that ran the order be killed, and back at once, so that later requests can use it. */
void killEntry(local_system &system)
{
    system.process("entry-1").kill();
    system.restartEntry("entry-1");
    ASSERT_TRUE(system.waitReady("entry-1", 1));
}

void restartEndpoint(local_system &system)
{
    system.process("office-1").kill();
    system.restartEndpoint("office-1");
    ASSERT_TRUE(system.waitReady("entry-1", 1) && system.waitReady("entry-2", 1));
}

void restartAll(local_system &system)
{
    for (const char *entry : {"entry-1", "entry-2"}) {
        system.process(entry).kill();
    }
    system.process("office-1").kill();
    system.restartEndpoint("office-1");
    for (const char *entry : {"entry-1", "entry-2"}) {
        system.restartEntry(entry);
        ASSERT_TRUE(system.waitReady(entry, 1));
    }
}

void endOutage(local_system &system)
{
    EXPECT_EQ(endingOf(system.order("entry-2", "envelopes", {{"Idempotency-Key", "booking-17"}})), not_run);
    EXPECT_EQ(nlohmann::json::parse(system.stats("office-1.engine")).value("version", -1), 0);
    system.inject("store", {{"outage", false}});
}

INSTANTIATE_TEST_SUITE_P(
    rows, repeated_orders,
    testing::Values(
        repeat_row {"repeated_order_runs_twice", {}, {}, {}, {}, answered, replayed, replayed},
        repeat_row {"order_runs_at_two_entries_at_once",
                    slowWork,
                    {},
                    [](local_system &) {},
                    {},
                    answered,
                    in_progress,
                    replayed},
        repeat_row {"killed_entry_frees_the_key_of_a_running_order",
                    slowWork,
                    {},
                    killEntry,
                    {},
                    cut,
                    in_progress | unknown,
                    unknown},
        repeat_row {"killed_entry_loses_a_kept_answer", {}, {}, {}, killEntry, answered, replayed, replayed},
        repeat_row {"restarted_endpoint_runs_a_kept_order", {}, {}, {}, restartEndpoint, answered, replayed, replayed},
        repeat_row {"restarted_endpoint_runs_a_running_order",
                    slowWork,
                    {},
                    restartEndpoint,
                    {},
                    unknown,
                    in_progress | unknown,
                    unknown},
        repeat_row {"restart_of_all_processes_forgets_the_key", {}, {}, {}, restartAll, answered, replayed, replayed},
        repeat_row {"store_outage_runs_an_unclaimed_order",
                    {},
                    [](local_system &system) {
                        system.inject("store", {{"outage", true}});
                    },
                    {},
                    endOutage,
                    not_run,
                    answered,
                    replayed},
        repeat_row {"store_outage_during_the_order_frees_the_key",
                    slowWork,
                    {},
                    [](local_system &system) {
                        system.inject("store", {{"outage", true}});
                    },
                    [](local_system &system) {
                        system.inject("store", {{"outage", false}});
                    },
                    answered,
                    not_run,
                    replayed},
        repeat_row {"lost_answer_of_the_claim_runs_or_blocks_the_order",
                    {},
                    [](local_system &system) {
                        system.inject("store", {{"lose_answers", 1}});
                    },
                    {},
                    {},
                    answered,
                    replayed,
                    replayed},
        repeat_row {"lost_answers_of_claim_and_result_double_the_order",
                    {},
                    [](local_system &system) {
                        system.inject("store", {{"lose_answers", 2}});
                    },
                    {},
                    {},
                    answered,
                    replayed,
                    replayed},
        repeat_row {"claim_that_takes_effect_late_blocks_the_key",
                    {},
                    [](local_system &system) {
                        system.inject("store", {{"delay_ms", 4000}});
                    },
                    {},
                    [](local_system &system) {
                        system.inject("store", {{"delay_ms", 0}});
                    },
                    not_run,
                    answered | in_progress | not_run,
                    replayed},
        repeat_row {"refused_order_keeps_its_key",
                    {},
                    [](local_system &system) { system.process("office-1").kill(); },
                    {},
                    [](local_system &system) {
                        system.restartEndpoint("office-1");
                        ASSERT_TRUE(system.waitReady("entry-1", 1) && system.waitReady("entry-2", 1));
                    },
                    not_run,
                    answered,
                    replayed},
        repeat_row {"answer_too_large_for_the_store_runs_again",
                    {"--padding_bytes", "300000"},
                    {},
                    {},
                    {},
                    answered,
                    unknown,
                    unknown},
        repeat_row {
            "streamed_answer_cut_or_run_again", {"--padding_bytes", "6000000"}, {}, {}, {}, streamed, unknown, unknown},
        repeat_row {"killed_entry_frees_the_key_of_a_streamed_answer",
                    {"--padding_bytes", "6000000"},
                    {},
                    {},
                    killEntry,
                    streamed,
                    unknown,
                    unknown},
        repeat_row {"outcome_sent_by_the_service_frees_the_key",
                    {"--outcome", "not_run"},
                    {},
                    {},
                    {},
                    answered,
                    replayed,
                    replayed},
        repeat_row {"other_order_under_a_used_key_runs", {}, {}, {}, {}, answered, reused, reused, "stamps"}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute::standins
