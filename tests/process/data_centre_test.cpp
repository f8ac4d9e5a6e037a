#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "standins/steady_load.h"
#include "store/etcd_store.h"
#include "store/store_paths.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <thread>

namespace bronzechute::standins {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr std::chrono::seconds outLimit {5}; ///< From the operators' change to the last new work.
constexpr std::chrono::seconds leavingLimit {2}; ///< The same for a single endpoint that leaves.

std::uint64_t startedAt(local_system &system, const std::string &engine)
{
    return json::parse(system.stats(engine)).value("started", std::uint64_t {0});
}

/** @returns the revision of the change. */
std::int64_t setState(local_system &system, const std::string &dataCentre, const std::string &state)
{
    const fetch_answer answer =
        system.admin("entry-1", "POST", "data_centres/" + dataCentre, json {{"state", state}}.dump());
    EXPECT_EQ(answer.status, 200) << answer.body;
    return json::parse(answer.body).value("revision", std::int64_t {-1});
}

struct data_centre_row
{
    const char *name; ///< The failure that the row guards against.
    entry_links second; ///< Links of entry-2; its store is a forwarder.
    std::function<void(local_system &)> scenario;
    bool secondForwarded = false; ///< entry-2 reaches model-2 through a forwarder; entry-1 does not.
};

class data_centres : public testing::TestWithParam<data_centre_row>
{
};

/** Two data centres with a model and an entry each. */
TEST_P(data_centres, leaveAndReturnWithoutHarm)
{
    local_system system;
    system.startStore();
    system.forwardStore("store-2");
    system.startModel("model-1", "buda", {"--step_ms", "5", "--cold_limit", "4"});
    system.startModel("model-2", "pest", {"--step_ms", "5", "--cold_limit", "4"});
    system.startEntry("entry-1", "buda");
    if (GetParam().secondForwarded) {
        system.forward("model-2");
    }
    entry_links links = GetParam().second;
    links.store = "store-2";
    system.startEntry("entry-2", "pest", links);
    system.apply(local_system::exampleConfiguration());
    ASSERT_TRUE(system.waitReady("entry-1", 2));
    ASSERT_TRUE(system.waitReady("entry-2", links.endpoints ? 1 : 2));
    GetParam().scenario(system);
}

/** Checks that an engine gets nothing new once the limit is over, while the load goes on elsewhere. */
void expectNoNewWork(local_system &system, steady_load &load, const std::string &engine, std::chrono::seconds limit)
{
    std::this_thread::sleep_for(limit);
    const std::uint64_t before = startedAt(system, engine);
    const int count = load.count();
    EXPECT_TRUE(eventuallyTrue([&] { return load.count() >= count + 100; }));
    EXPECT_EQ(startedAt(system, engine), before) << "new work after " << limit.count() << " s";
    load.stop();
    EXPECT_EQ(load.wrongAnswers(), "");
}

void startLoadAt(local_system &system, steady_load &load, const std::string &engine)
{
    ASSERT_TRUE(eventuallyTrue([&] { return startedAt(system, engine) >= 20; }))
        << load.count() << " answers; " << load.wrongAnswers();
}

void takeOut(local_system &system)
{
    steady_load load(system, {"entry-1", "entry-2"}, 4);
    startLoadAt(system, load, "model-2.engine");
    setState(system, "pest", "out");
    expectNoNewWork(system, load, "model-2.engine", outLimit);
}

void takeOutWithoutStore(local_system &system)
{
    system.inject("store-2", {{"refuse_new", true}, {"cut_open", true}});
    takeOut(system);
}

/** The entry that sends work knows nothing of the change: no store, no peer, and no configuration from the endpoint. */
void takeOutUnknownToTheEntry(local_system &system)
{
    system.inject("store-2", {{"refuse_new", true}, {"cut_open", true}});
    system.inject("model-2.forwarder",
                  {{"frames", {{{"type", "config_push"}, {"action", "drop"}, {"times", 1000000}}}}});
    steady_load load(system, {"entry-2"}, 4);
    startLoadAt(system, load, "model-2.engine");
    const std::int64_t out = setState(system, "pest", "out");
    expectNoNewWork(system, load, "model-2.engine", outLimit);
    EXPECT_EQ(system.revision("model-2"), out);
    EXPECT_LT(system.revision("entry-2"), out) << "the entry has learnt the change, so that the row shows nothing";
    const std::string page = fetch(system.url("model-2") + "/metrics").body;
    EXPECT_NE(page.find(R"(bronzechute_refused_total{reason="out_of_service"})"), std::string::npos) << page;
}

void streamsFinish(local_system &system)
{
    constexpr int tokens = 400;
    constexpr int streamCount = 8;
    std::vector<std::future<fetch_answer>> streams;
    streams.reserve(streamCount);
    for (int index = 0; index < streamCount; ++index) {
        streams.push_back(std::async(std::launch::async, [&system, index] {
            return system.complete("entry-2", tokens, true, "stream " + std::to_string(index));
        }));
    }
    ASSERT_TRUE(eventuallyTrue([&] { return json::parse(system.stats("model-2.engine")).value("running", 0) > 0; }));
    setState(system, "pest", "out");
    for (auto &stream : streams) {
        const fetch_answer answer = stream.get();
        EXPECT_EQ(answer.code, CURLE_OK);
        EXPECT_EQ(answer.status, 200) << answer.body;
        EXPECT_NE(answer.body.find("data: [DONE]"), std::string::npos);
    }
    EXPECT_GT(startedAt(system, "model-2.engine"), 0U);
}

/** Takes pest out and returns it with a cold engine, under load. */
void outAndIn(local_system &system)
{
    const std::int64_t out = setState(system, "pest", "out");
    ASSERT_TRUE(eventuallyTrue([&] { return system.revision("model-2") >= out; }, outLimit));
    ASSERT_TRUE(eventuallyTrue([&] { return system.health("model-2").value("in_flight", -1) == 0; }));
    system.inject("model-2.engine", {{"turn_cold", 8}});
    setState(system, "pest", "in_service");
    ASSERT_TRUE(eventuallyTrue([&] { return system.revision("model-2") > out; }));
}

bool turnsWarm(local_system &system, const std::string &endpoint)
{
    return eventuallyTrue([&] {
        const json page = system.health(endpoint);
        return !page.value("cold", true) && page.value("limit", 0) > 4;
    });
}

void comesBackCold(local_system &system)
{
    {
        steady_load load(system, {"entry-1", "entry-2"}, 8);
        ASSERT_TRUE(turnsWarm(system, "model-2")) << system.health("model-2");
    }
    outAndIn(system);
    EXPECT_EQ(system.health("model-2").value("limit", 0), 1);
    EXPECT_EQ(system.health("model-2").value("cold", false), true);
    steady_load load(system, {"entry-1", "entry-2"}, 16);
    EXPECT_TRUE(turnsWarm(system, "model-2")) << system.health("model-2");
    load.stop();
    EXPECT_EQ(load.wrongAnswers(), "");
    EXPECT_EQ(json::parse(system.stats("model-2.engine"))["fall_overs"], 0) << system.stats("model-2.engine");
}

void outAgainWithinTheRamp(local_system &system)
{
    steady_load load(system, {"entry-1", "entry-2"}, 8);
    ASSERT_TRUE(turnsWarm(system, "model-2")) << system.health("model-2");
    for (int round = 0; round < 3; ++round) {
        outAndIn(system);
        std::this_thread::sleep_for(200ms); // Into the ramp.
    }
    EXPECT_TRUE(turnsWarm(system, "model-2")) << system.health("model-2");
    load.stop();
    EXPECT_EQ(load.wrongAnswers(), "");
    EXPECT_EQ(json::parse(system.stats("model-2.engine"))["fall_overs"], 0) << system.stats("model-2.engine");
}

void bothOut(local_system &system)
{
    setState(system, "buda", "out");
    setState(system, "pest", "out");
    const std::int64_t revision = 3;
    for (const char *process : {"entry-1", "entry-2", "model-1", "model-2"}) {
        ASSERT_TRUE(eventuallyTrue([&] { return system.revision(process) >= revision; }, outLimit));
    }
    const std::uint64_t before = startedAt(system, "model-1.engine") + startedAt(system, "model-2.engine");
    for (const char *entry : {"entry-1", "entry-2"}) {
        const fetch_answer refused = system.complete(entry, 5, false);
        EXPECT_EQ(refused.status, 503) << refused.body;
        EXPECT_EQ(findHeader(refused.headers, "X-Bronzechute-Outcome"), "not_run");
        EXPECT_TRUE(findHeader(refused.headers, "Retry-After").has_value());
    }
    EXPECT_EQ(startedAt(system, "model-1.engine") + startedAt(system, "model-2.engine"), before);
    setState(system, "buda", "in_service");
    EXPECT_TRUE(eventuallyTrue([&] { return system.complete("entry-2", 5, false).status == 200; }));
}

void endpointDiesDuringTheRamp(local_system &system)
{
    steady_load load(system, {"entry-1", "entry-2"}, 8);
    ASSERT_TRUE(turnsWarm(system, "model-2")) << system.health("model-2");
    outAndIn(system);
    system.process("model-2").kill();
    std::this_thread::sleep_for(500ms);
    system.restartEndpoint("model-2");
    EXPECT_TRUE(turnsWarm(system, "model-2")) << system.health("model-2");
    EXPECT_EQ(json::parse(system.stats("model-2.engine"))["fall_overs"], 0) << system.stats("model-2.engine");
}

void restartedWhileOut(local_system &system)
{
    steady_load load(system, {"entry-1", "entry-2"}, 4);
    startLoadAt(system, load, "model-2.engine");
    setState(system, "pest", "out");
    ASSERT_TRUE(eventuallyTrue([&] { return system.revision("entry-2") >= 2 && system.revision("entry-1") >= 2; }));
    system.process("model-2").kill();
    system.restartEndpoint("model-2");
    ASSERT_TRUE(eventuallyTrue([&] { return system.revision("model-2") >= 2; }));
    const std::uint64_t before = startedAt(system, "model-2.engine");
    const int count = load.count();
    EXPECT_TRUE(eventuallyTrue([&] { return load.count() >= count + 100; }));
    EXPECT_EQ(startedAt(system, "model-2.engine"), before);
}

void endpointGetsSigterm(local_system &system)
{
    steady_load load(system, {"entry-1", "entry-2"}, 4);
    startLoadAt(system, load, "model-2.engine");
    auto stream = std::async(std::launch::async, [&] { return system.complete("entry-2", 800, true, "long"); });
    std::this_thread::sleep_for(300ms);
    system.process("model-2").signal(SIGTERM);
    expectNoNewWork(system, load, "model-2.engine", leavingLimit);
    EXPECT_NE(stream.get().body.find("data: [DONE]"), std::string::npos);
    EXPECT_EQ(system.process("model-2").waitForExit(), 0);
}

void listMarksAsLeaving(local_system &system)
{
    steady_load load(system, {"entry-1", "entry-2"}, 4);
    startLoadAt(system, load, "model-2.engine");
    etcd_store_options options;
    options.endpoints = {system.url("store")};
    etcd_store store(options);
    const json vm {{"name", "model-2"},
                   {"address", system.address("model-2")},
                   {"role", "endpoint"},
                   {"data_centre", "pest"},
                   {"state", "leaving"}};
    ASSERT_TRUE(store.compareAndSwap(std::string(store_paths::vms) + "model-2", 0, vm.dump()));
    expectNoNewWork(system, load, "model-2.engine", leavingLimit);
}

const entry_links all;
const entry_links onlyPest {{}, {}, {{"model-2"}}};

INSTANTIATE_TEST_SUITE_P(
    rows, data_centres,
    testing::Values(data_centre_row {"data_centre_taken_out_gets_new_work", all, takeOut},
                    data_centre_row {"entry_without_store_sends_work_to_a_data_centre_out", all, takeOutWithoutStore},
                    data_centre_row {"entry_that_knows_only_the_data_centre_out_sends_work", onlyPest,
                                     takeOutWithoutStore},
                    data_centre_row {"entry_that_never_learns_that_the_data_centre_is_out_gets_work_done", onlyPest,
                                     takeOutUnknownToTheEntry, true},
                    data_centre_row {"stream_is_cut_when_its_data_centre_leaves", all, streamsFinish},
                    data_centre_row {"cold_data_centre_is_flooded_on_return", all, comesBackCold},
                    data_centre_row {"second_leave_within_the_ramp_skips_the_next_ramp", all, outAgainWithinTheRamp},
                    data_centre_row {"request_hangs_when_all_data_centres_are_out", all, bothOut},
                    data_centre_row {"endpoint_that_dies_during_the_ramp_returns_warm", all, endpointDiesDuringTheRamp},
                    data_centre_row {"endpoint_restarted_while_out_takes_work", all, restartedWhileOut},
                    data_centre_row {"endpoint_with_sigterm_gets_new_work", all, endpointGetsSigterm},
                    data_centre_row {"endpoint_listed_as_leaving_gets_new_work", all, listMarksAsLeaving}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute::standins
