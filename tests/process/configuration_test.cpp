#include "standins/http_fetch.h"
#include "standins/local_system.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace bronzechute::standins {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/** The time within which an accepted configuration is in force everywhere. */
constexpr std::chrono::seconds inForceLimit {17};

const std::vector<std::string> allProcesses {"entry-1", "entry-2", "model-1", "office-1"};

bool allReach(local_system &system, std::int64_t revision, const std::vector<std::string> &processes = allProcesses)
{
    return eventuallyTrue(
        [&] {
            return std::ranges::all_of(processes, [&](const auto &name) { return system.revision(name) >= revision; });
        },
        inForceLimit);
}

json bodyOf(const fetch_answer &answer)
{
    return json::parse(answer.body, nullptr, false);
}

std::int64_t revisionOf(const fetch_answer &answer)
{
    return bodyOf(answer).value("revision", std::int64_t {-1});
}

fetch_answer setDataCentre(local_system &system, const std::string &entry, const std::string &name,
                           const std::string &state)
{
    return system.admin(entry, "POST", "data_centres/" + name, json {{"state", state}}.dump());
}

/** @returns the state of a data centre in the document that the store holds. */
std::string storedState(local_system &system, const std::string &dataCentre)
{
    const json document = bodyOf(system.admin("entry-1", "GET", "configuration"));
    for (const json &each : document["content"]["data_centres"]) {
        if (each["name"] == dataCentre) {
            return each["state"];
        }
    }
    return {};
}

void cutFromStore(local_system &system, const std::string &forwarder)
{
    system.inject(forwarder, {{"refuse_new", true}, {"cut_open", true}});
}

struct configuration_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(local_system &)> scenario;
};

class configuration_changes : public testing::TestWithParam<configuration_row>
{
};

TEST_P(configuration_changes, areInForceEverywhereAndStay)
{
    local_system system;
    system.startStore();
    system.forwardStore("store-1");
    system.forwardStore("store-2");
    system.startModel("model-1", "buda");
    system.startService("office-1", "pest");
    system.startEntry("entry-1", "buda", {{}, "store-1", {}});
    system.startEntry("entry-2", "pest", {{"entry-1"}, "store-2", {}});
    system.apply(local_system::exampleConfiguration());
    ASSERT_TRUE(system.waitReady("entry-1", 2) && system.waitReady("entry-2", 2));
    ASSERT_TRUE(allReach(system, 1));
    GetParam().scenario(system);
}

void changeReachesAll(local_system &system)
{
    const fetch_answer changed = setDataCentre(system, "entry-1", "pest", "out");
    ASSERT_EQ(changed.status, 200) << changed.body;
    EXPECT_EQ(revisionOf(changed), 2);
    EXPECT_TRUE(allReach(system, 2));
}

void changeReachesAnEntryWithoutStore(local_system &system)
{
    cutFromStore(system, "store-2");
    changeReachesAll(system);
}

void operatorsRace(local_system &system)
{
    const auto put = [&](const std::string &entry, const std::string &share) {
        std::string text = local_system::exampleConfiguration();
        text.replace(text.find("share: 4"), 8, "share: " + share);
        return system.admin(entry, "PUT", "configuration?base_revision=1", text);
    };
    auto left = std::async(std::launch::async, put, "entry-1", "5");
    auto right = std::async(std::launch::async, put, "entry-2", "6");
    const fetch_answer answers[] = {left.get(), right.get()};
    const int winner = answers[0].status == 200 ? 0 : 1;
    ASSERT_EQ(answers[winner].status, 200) << answers[winner].body;
    ASSERT_EQ(answers[1 - winner].status, 409) << answers[1 - winner].body;
    const json refusal = bodyOf(answers[1 - winner]);
    EXPECT_EQ(refusal["current"]["revision"], 2) << refusal;
    EXPECT_EQ(refusal["current"]["diff"][0]["path"], "accounts[office].share") << refusal;
    EXPECT_EQ(refusal["current"]["diff"][0]["new"], winner == 0 ? 5 : 6) << refusal;
    const json stored = bodyOf(system.admin("entry-1", "GET", "configuration"));
    EXPECT_EQ(stored["revision"], 2);
    EXPECT_EQ(stored["content"]["accounts"][0]["share"], winner == 0 ? 5 : 6) << stored;
}

void editsOfDifferentPartsRace(local_system &system)
{
    // Each edit is repeated by the API on top of the other, so that neither operator has to do it again.
    auto left = std::async(std::launch::async, [&] { return setDataCentre(system, "entry-1", "buda", "out"); });
    auto right = std::async(std::launch::async, [&] { return setDataCentre(system, "entry-2", "pest", "out"); });
    EXPECT_EQ(left.get().status, 200);
    EXPECT_EQ(right.get().status, 200);
    EXPECT_EQ(storedState(system, "buda"), "out");
    EXPECT_EQ(storedState(system, "pest"), "out");
    EXPECT_TRUE(allReach(system, 3));
}

void answerIsLost(local_system &system)
{
    system.inject("store", {{"lose_answers", 1}});
    const fetch_answer changed = setDataCentre(system, "entry-1", "pest", "out");
    ASSERT_EQ(changed.status, 200) << changed.body;
    EXPECT_EQ(revisionOf(changed), 2);
    EXPECT_TRUE(allReach(system, 2));
    EXPECT_EQ(revisionOf(system.admin("entry-1", "GET", "configuration")), 2);
}

/** Makes two changes, rolls the store back before them and checks that no process follows it. */
void storeIsRolledBack(local_system &system, const std::function<void()> &after = {})
{
    const auto before = bodyOf(fetch(system.url("store") + "/standin/stats")).value("revision", std::int64_t {0});
    ASSERT_EQ(setDataCentre(system, "entry-1", "pest", "out").status, 200);
    ASSERT_EQ(setDataCentre(system, "entry-1", "buda", "out").status, 200);
    ASSERT_TRUE(allReach(system, 3));
    std::atomic<bool> stop = false;
    std::atomic<std::int64_t> lowest = 3;
    std::jthread observer([&] {
        while (!stop) {
            for (const std::string &name : allProcesses) {
                const std::int64_t seen = system.revision(name);
                lowest = seen < 0 ? lowest.load() : std::min(lowest.load(), seen);
            }
            std::this_thread::sleep_for(20ms);
        }
    });
    system.inject("store", {{"rollback", before}});
    EXPECT_TRUE(
        eventuallyTrue([&] { return revisionOf(system.admin("entry-1", "GET", "configuration")) >= 3; }, inForceLimit))
        << system.admin("entry-1", "GET", "configuration").body;
    if (after) {
        after();
    }
    stop = true;
    observer.join();
    EXPECT_EQ(lowest, 3) << "a process went back";
    EXPECT_EQ(storedState(system, "pest"), "out");
    EXPECT_EQ(storedState(system, "buda"), "out");
}

void changeOnARolledBackStore(local_system &system)
{
    // The entry that is cut off keeps the newer document while the other one is restarted on the older store.
    const auto before = bodyOf(fetch(system.url("store") + "/standin/stats")).value("revision", std::int64_t {0});
    ASSERT_EQ(setDataCentre(system, "entry-1", "pest", "out").status, 200);
    ASSERT_TRUE(allReach(system, 2));
    system.inject("store", {{"outage", true}});
    system.inject("store", {{"rollback", before}});
    system.process("entry-1").kill();
    system.restartEntry("entry-1");
    system.inject("store", {{"outage", false}});
    EXPECT_TRUE(allReach(system, 2)) << "the entry restarted on the older store did not get the newer document";
    EXPECT_TRUE(eventuallyTrue([&] { return storedState(system, "pest") == "out"; }, inForceLimit));
}

void entryStartsWithoutStore(local_system &system, const entry_links &links, int endpoints)
{
    ASSERT_EQ(setDataCentre(system, "entry-1", "buda", "in_service").status, 200);
    system.inject("store", {{"outage", true}});
    system.startEntry("entry-3", "buda", links);
    EXPECT_TRUE(allReach(system, 1, {"entry-3"}));
    ASSERT_TRUE(system.waitReady("entry-3", endpoints));
    EXPECT_EQ(system.complete("entry-3", 5, false).status, 200);
}

void requestsWithoutStore(local_system &system)
{
    ASSERT_EQ(setDataCentre(system, "entry-1", "buda", "in_service").status, 200);
    system.inject("store", {{"outage", true}});
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        const std::string entry = round % 2 == 0 ? "entry-1" : "entry-2";
        EXPECT_EQ(system.complete(entry, 5, false).status, 200);
        EXPECT_EQ(system.order(entry, "envelopes").status, 201);
        std::this_thread::sleep_for(150ms); // Longer than the lifetime of a status in all.
    }
    const fetch_answer change = setDataCentre(system, "entry-1", "pest", "out");
    EXPECT_EQ(change.status, 503) << change.body;
    system.inject("store", {{"outage", false}});
    EXPECT_TRUE(eventuallyTrue([&] { return setDataCentre(system, "entry-1", "pest", "out").status == 200; }));
    EXPECT_TRUE(allReach(system, 2));
}

INSTANTIATE_TEST_SUITE_P(
    rows, configuration_changes,
    testing::Values(configuration_row {"change_is_missing_at_a_process", changeReachesAll},
                    configuration_row {"change_is_missing_at_an_entry_without_store", changeReachesAnEntryWithoutStore},
                    configuration_row {"change_of_a_racing_operator_is_lost", operatorsRace},
                    configuration_row {"edit_of_another_part_is_lost", editsOfDifferentPartsRace},
                    configuration_row {"lost_answer_reported_as_failure_or_repeated", answerIsLost},
                    configuration_row {"store_rolled_back_reverts_a_process",
                                       [](local_system &system) {
                                           storeIsRolledBack(system);
                                       }},
                    configuration_row {"change_after_rollback_is_lost",
                                       [](local_system &system) {
                                           storeIsRolledBack(system, [&] {
                                               EXPECT_EQ(setDataCentre(system, "entry-2", "buda", "out").status, 200);
                                               EXPECT_TRUE(allReach(system, 3));
                                           });
                                       }},
                    configuration_row {"entry_restarted_on_an_older_store_reverts", changeOnARolledBackStore},
                    configuration_row {"entry_started_without_store_knows_nothing_of_its_peer",
                                       [](local_system &system) {
                                           entryStartsWithoutStore(system, {{"entry-1"}, "store", {}}, 2);
                                       }},
                    configuration_row {"entry_started_without_store_and_peers_knows_nothing",
                                       [](local_system &system) {
                                           entryStartsWithoutStore(system, {{}, "store", {{"model-1"}}}, 1);
                                       }},
                    configuration_row {"store_outage_stops_requests", requestsWithoutStore}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute::standins
