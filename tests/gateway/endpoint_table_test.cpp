#include "balance/placement.h"
#include "gateway/endpoint_table.h"
#include "gateway/load_report.h"
#include "gateway/peer_loads.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start(1h);

class grouped_endpoints : public testing::Test
{
protected:
    grouped_endpoints()
    {
        for (const char *id : {"a", "b", "alone"}) {
            endpoint_record record;
            record.id = id;
            record.service = "models";
            record.dataCentre = "here";
            m_table.update(record);
        }
    }

    bool usable(const std::string &id, time_point now) const
    {
        return m_table.viewOf(*m_table.all().at(id), {}, now).usable;
    }

    endpoint_table m_table {"here"};
};

struct reuse_row
{
    const char *name; ///< Failure that the row guards against.
    std::int64_t startedAtMs; ///< Of the second endpoint at the address; the first one started at 1000.
    bool firstKnown; ///< Whether the first endpoint is known afterwards.
};

class reused_address : public testing::TestWithParam<reuse_row>
{
};

// The entry of an endpoint that crashed stays for some time, and longer after an outage of the store.
TEST_P(reused_address, belongsToTheLastProcessThatStarted)
{
    endpoint_table table("here");
    endpoint_record first;
    first.id = "first";
    first.service = "models";
    first.address = "10.0.0.1:80";
    first.startedAtMs = 1000;
    table.update(first);
    endpoint_record second = first;
    second.id = "second";
    second.service = "office";
    second.startedAtMs = GetParam().startedAtMs;
    table.update(second);
    EXPECT_EQ(table.all().contains("first"), GetParam().firstKnown);
    EXPECT_TRUE(table.all().contains("second"));
    EXPECT_EQ(table.endpointsOf("models").size(), GetParam().firstKnown ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(rows, reused_address,
                         testing::Values(reuse_row {"crashed_endpoint_gets_requests", 2000, false},
                                         reuse_row {"late_entry_displaces_a_live_endpoint", 500, true},
                                         reuse_row {"unknown_start_displaces_a_live_endpoint", 0, true}),
                         [](const auto &row) { return std::string(row.param.name); });

routing_table tableOf(const std::vector<std::string> &services)
{
    routing_document document;
    for (const std::string &name : services) {
        routed_service service;
        service.name = name;
        document.services.push_back(service);
    }
    return routing_table(document);
}

TEST(foreign_entry, doesNotReplaceALiveEndpointAtItsAddress)
{
    endpoint_table table("here");
    table.applyRouting(tableOf({"models"}), 1);
    endpoint_record live;
    live.id = "live";
    live.service = "models";
    live.address = "10.0.0.1:80";
    live.startedAtMs = 1000;
    table.update(live);
    endpoint_record foreign = live;
    foreign.id = "foreign";
    foreign.service = "unnamed";
    foreign.startedAtMs = 9000;
    table.update(foreign);
    EXPECT_EQ(table.endpointsOf("models").size(), 1U);
    table.applyRouting(tableOf({"models", "unnamed"}), 1);
    EXPECT_EQ(table.endpointsOf("models").size(), 0U)
        << "the service is named now, so it is the later start that holds";
}

TEST_F(grouped_endpoints, getNoRequestsWhileTheirGroupIsClosed)
{
    m_table.setGroups({{"g", false, {"a", "b"}, {}}}, start);
    EXPECT_FALSE(usable("a", start + 1s));
    EXPECT_FALSE(usable("b", start + 1s));
    EXPECT_TRUE(usable("alone", start + 1s));
    m_table.setGroups({{"g", true, {"a", "b"}, {}}}, start + 1s);
    EXPECT_TRUE(usable("a", start + 1s));
}

TEST_F(grouped_endpoints, areTriedAgainWhenTheClosedStateExpires)
{
    m_table.setGroups({{"g", false, {"a", "b", "alone"}, {}}}, start);
    EXPECT_FALSE(m_table.anyUsable("models", start + 1s));
    EXPECT_TRUE(m_table.anyUsable("models", start + 2s));
    EXPECT_TRUE(usable("a", start + 2s));
}

TEST_F(grouped_endpoints, getNoRequestsWhileOneOfThemCausesRefusals)
{
    m_table.setGroups({{"g", true, {"a", "b"}, {}}}, start);
    m_table.recordGroupRefusal(*m_table.all().at("a"), start);
    EXPECT_FALSE(usable("b", start + 100ms));
    EXPECT_TRUE(usable("alone", start + 100ms));
    EXPECT_TRUE(usable("b", start + 1s));
}

TEST_F(grouped_endpoints, getNoRequestsWhileTheySlowTheirGroupDown)
{
    m_table.setGroups({{"g", true, {"a", "b"}, {"b"}}}, start);
    EXPECT_TRUE(usable("a", start + 1s));
    EXPECT_FALSE(usable("b", start + 1s));
    EXPECT_FALSE(usable("b", start + 5s)) << "the coordinator is silent for some seconds while the store is away";
    EXPECT_TRUE(usable("b", start + 10s));
    m_table.setGroups({{"g", true, {"a", "b"}, {}}}, start + 2s);
    EXPECT_TRUE(usable("b", start + 2s));
}

TEST_F(grouped_endpoints, takeOnlyStreamsThatCompleteAtTheirPace)
{
    m_table.setGroups({{"g", true, {"a", "b", "alone"}, {}}}, start);
    gateway_endpoint &measured = *m_table.all().at("a");
    for (const auto at : {-1500ms, -1000ms, -500ms, 0ms}) {
        m_table.recordEvent(measured, 500ms, start + at);
    }
    const gateway_endpoint &other = *m_table.all().at("b");
    const stream_demand shortStream {10, start + 8s};
    const stream_demand longStream {40, start + 8s};
    EXPECT_TRUE(m_table.completes(other, shortStream, start + 100ms));
    EXPECT_FALSE(m_table.completes(other, longStream, start + 100ms));
    EXPECT_FALSE(m_table.anyUsable("models", start + 100ms, longStream));
    EXPECT_TRUE(m_table.anyUsable("models", start + 100ms, shortStream));
    EXPECT_TRUE(m_table.anyUsable("models", start + 3s, longStream)) << "the pace is not known any more";
}

TEST_F(grouped_endpoints, getNoRequestsWhileAllTheirStreamsStall)
{
    m_table.setGroups({{"g", true, {"a", "b"}, {}}}, start);
    m_table.all().at("a")->ownRunning = 4;
    m_table.viewsOf("models", {}, start);
    m_table.recordEvent(*m_table.all().at("a"), std::nullopt, start + 100ms);
    EXPECT_TRUE(usable("b", start + 500ms));
    m_table.viewsOf("models", {}, start + 700ms);
    EXPECT_FALSE(usable("b", start + 700ms));
    m_table.recordEvent(*m_table.all().at("a"), 600ms, start + 710ms);
    EXPECT_TRUE(usable("b", start + 720ms));
}

TEST_F(grouped_endpoints, runNoMoreThanTheirStepTimeAllows)
{
    routing_document document;
    engine_profile engine;
    engine.slots = 10;
    engine.stepMs = 35;
    engine.stepMsPerRequest = 2.8;
    document.services = {{"models", 0, 0, engine}};
    route declared;
    declared.services = {{"models", 1}};
    declared.gapTarget = 120ms;
    document.routes = {declared};
    m_table.applyRouting(routing_table(document), 1);
    m_table.setGroups({{"g", true, {"a", "b"}, {}}}, start);
    const auto &first = m_table.all().at("a");
    first->ownRunning = 9;
    m_table.all().at("b")->ownRunning = 9;
    const auto groupTakesMore = [&](time_point now) {
        const auto views = m_table.viewsOf("models", {}, now);
        return std::ranges::any_of(views, [](const endpoint_view &view) { return view.usable && view.slots > 1; });
    };
    for (auto &[id, endpoint] : m_table.all()) {
        endpoint->record.slots = id == "alone" ? 1 : 10;
    }
    EXPECT_TRUE(groupTakesMore(start));
    for (int count = 0; count < 60; ++count) {
        m_table.recordEvent(*first, 130ms, start + count * 10ms);
    }
    EXPECT_FALSE(groupTakesMore(start + 600ms));
    first->ownRunning = 2;
    EXPECT_TRUE(groupTakesMore(start + 600ms));
}

TEST(service_health, isFailingOnlyWithoutAnyResponse)
{
    endpoint_table table("here");
    endpoint_record record;
    record.id = "a";
    record.service = "models";
    table.update(record);
    gateway_endpoint &endpoint = *table.all().at("a");
    for (int count = 0; count < 5; ++count) {
        table.recordFailure(endpoint);
    }
    EXPECT_TRUE(table.isFailing("models", start));
    EXPECT_TRUE(table.anyServiceFailing(start));
    table.recordAnswer(endpoint, start);
    EXPECT_FALSE(table.isFailing("models", start + 1s));
    EXPECT_FALSE(table.isFailing("unknown", start));
}

constexpr double coldRate = 14;

routing_table coldServiceTable()
{
    routing_document document;
    routed_service service;
    service.name = "models";
    service.coldRequestsPerSecond = coldRate;
    document.services.push_back(service);
    return routing_table(document);
}

gateway_fleet fleetOf(int count, int self)
{
    gateway_fleet fleet {"", {}, count, true};
    for (int index = 0; index < count; ++index) {
        fleet.members.push_back("10.0.0." + std::to_string(index + 1));
    }
    fleet.self = fleet.members.at(static_cast<std::size_t>(self));
    return fleet;
}

endpoint_record modelRecord(const std::string &id)
{
    endpoint_record record;
    record.id = id;
    record.service = "models";
    record.dataCentre = "there";
    record.slots = 10;
    record.startedAtMs = 1000;
    return record;
}

struct cold_row
{
    const char *name; ///< Failure that the row guards against.
    std::function<void(endpoint_table &, const std::string &)> happen; ///< To an endpoint, at the start.
    std::chrono::milliseconds lastCold; ///< Time after the start at which only the holders of a permit may send.
    std::chrono::milliseconds firstWarm; ///< Time after the start from which all gateways may.
};

class cold_endpoint : public testing::TestWithParam<cold_row>
{
};

// With the rate divided by the number of gateways, each of the 44 gateways may send in every row, at any time.
TEST_P(cold_endpoint, getsRequestsOfFewGatewaysOnly)
{
    constexpr int gateways = 44;
    int mayBefore = 0;
    int mayWhileCold = 0;
    int mayAfterwards = 0;
    for (int self = 0; self < gateways; ++self) {
        endpoint_table table("here");
        table.setFleet(fleetOf(gateways, self));
        table.applyRouting(coldServiceTable(), gateways);
        table.update(modelRecord("i-1"), start - 1min);
        table.setInitialListComplete();
        const auto may = [&](time_point now) {
            return table.viewOf(*table.all().at("i-1"), {}, now).usable ? 1 : 0;
        };
        mayBefore += may(start);
        GetParam().happen(table, "i-1");
        mayWhileCold += may(start + GetParam().lastCold);
        mayAfterwards += may(start + GetParam().firstWarm);
    }
    EXPECT_EQ(mayBefore, gateways);
    EXPECT_EQ(mayWhileCold, 4);
    EXPECT_EQ(mayAfterwards, gateways);
}

INSTANTIATE_TEST_SUITE_P(rows, cold_endpoint,
                         testing::Values(cold_row {"a_restarted_endpoint_counts_as_warm",
                                                   [](endpoint_table &table, const std::string &id) {
                                                       endpoint_record record = modelRecord(id);
                                                       record.startedAtMs = 2000;
                                                       table.update(record, start);
                                                   },
                                                   3999ms, 4s},
                                         cold_row {"a_reported_cold_start_is_ignored",
                                                   [](endpoint_table &table, const std::string &id) {
                                                       endpoint_record record = modelRecord(id);
                                                       record.coldRemaining = 6s;
                                                       table.update(record, start);
                                                   },
                                                   6999ms, 7s},
                                         cold_row {"a_data_centre_that_is_back_counts_as_warm",
                                                   [](endpoint_table &table, const std::string &) {
                                                       table.setDataCentre("there", false, start - 10s);
                                                       table.setDataCentre("there", true, start);
                                                   },
                                                   3999ms, 4s},
                                         cold_row {"a_group_that_is_back_counts_as_warm",
                                                   [](endpoint_table &table, const std::string &id) {
                                                       table.setGroups({{"g", false, {id}, {}}}, start - 1s);
                                                       table.setGroups({{"g", true, {id}, {}}}, start);
                                                   },
                                                   3999ms, 4s},
                                         cold_row {"a_closed_group_that_is_not_reported_any_more_counts_as_warm",
                                                   [](endpoint_table &table, const std::string &id) {
                                                       table.setGroups({{"g", false, {id}, {}}}, start - 2s);
                                                       EXPECT_FALSE(
                                                           endpoint_table::isWarm(*table.all().at(id), start + 1min));
                                                       table.setGroups({{"g", true, {id}, {}}}, start);
                                                   },
                                                   3999ms, 4s},
                                         cold_row {"an_engine_named_as_missing_is_back_unnoticed",
                                                   [](endpoint_table &table, const std::string &id) {
                                                       table.setGroups({{"g", true, {id}, {}}}, start - 1min);
                                                       table.recordGroupRefusal(*table.all().at(id), start);
                                                   },
                                                   4399ms, 4400ms},
                                         cold_row {"an_endpoint_that_was_dark_counts_as_warm",
                                                   [](endpoint_table &table, const std::string &id) {
                                                       endpoint_table::recordSilence(*table.all().at(id), start - 2s);
                                                       table.recordAnswer(*table.all().at(id), start);
                                                   },
                                                   3999ms, 4s}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(undiscovered_gateway, sendsNothingToAColdEndpoint)
{
    endpoint_table table("here");
    table.setInitialListComplete();
    table.applyRouting(coldServiceTable(), 4);
    gateway_fleet fleet = fleetOf(1, 0);
    fleet.discovered = false;
    table.setFleet(fleet);
    table.update(modelRecord("i-1"), start);
    EXPECT_FALSE(table.viewOf(*table.all().at("i-1"), {}, start).usable);
    EXPECT_EQ(table.rateAllowsAt("models", start), start + 4s);
    fleet.discovered = true;
    table.setFleet(fleet);
    EXPECT_TRUE(table.viewOf(*table.all().at("i-1"), {}, start).usable);
}

/** Gateways with more requests than a rank group can take when it comes back, which know nothing of each other's. */
struct returning_group
{
    returning_group(int gateways, int ranks)
    {
        for (int self = 0; self < gateways; ++self) {
            endpoint_table &table = *m_tables.emplace_back(std::make_unique<endpoint_table>("here"));
            table.applyRouting(coldServiceTable(), gateways);
            table.setFleet(fleetOf(gateways, self));
            group_state state {"g", false, {}, {}};
            for (int rank = 0; rank < ranks; ++rank) {
                state.endpoints.push_back("i-" + std::to_string(rank));
                endpoint_record record = modelRecord(state.endpoints.back());
                record.slots = 100;
                table.update(record, start - 1min);
            }
            table.setInitialListComplete();
            table.setGroups({state}, start - 1s);
            state.open = true;
            table.setGroups({state}, start);
        }
    }

    /** Sends for a time. @returns the most requests that any rank got in a second, and all requests */
    std::pair<int, int> run(std::chrono::milliseconds time)
    {
        std::mt19937_64 random(1);
        std::map<std::string, std::deque<std::chrono::milliseconds>> sent;
        int most = 0;
        int all = 0;
        for (std::chrono::milliseconds now {0}; now < time; now += 20ms) {
            for (const auto &table : m_tables) {
                const auto &endpoints = table->endpointsOf("models");
                table->recordEvent(*endpoints.front(), std::nullopt, start + now); // Its streams make progress.
                while (const auto index = placeRequest(table->viewsOf("models", {}, start + now), 0, random)) {
                    gateway_endpoint &endpoint = *endpoints[*index];
                    ++endpoint.ownRunning;
                    endpoint_table::recordSent(endpoint, start + now);
                    auto &times = sent[endpoint.record.id];
                    times.push_back(now);
                    while (now - times.front() >= 1s) {
                        times.pop_front();
                    }
                    most = std::max(most, static_cast<int>(times.size()));
                    ++all;
                }
            }
        }
        return {most, all};
    }

private:
    std::vector<std::unique_ptr<endpoint_table>> m_tables;
};

// A rank that gets more requests than it tolerates while it is cold crashes, and closes the whole group again.
TEST(returning_group, isWarmedAsOne)
{
    constexpr int ranks = 72;
    const auto [most, all] = returning_group(44, ranks).run(3900ms);
    std::cout << "44 gateways, 72 ranks: at most " << most << " requests in a second at a rank, " << all
              << " in all in 3.9 s\n";
    EXPECT_LE(most, coldRate);
    EXPECT_GE(all, static_cast<int>(2.0 / 3 * coldRate * ranks * 3.9));
}

class peer_reachability : public testing::Test
{
protected:
    void recordReport(const std::string &host, const std::string &dataCentre, time_point now)
    {
        load_report report;
        report.dataCentre = dataCentre;
        report.sequence = ++m_sequence;
        m_peers.record(host, report, now);
    }

    peer_loads m_peers {"10.0.0.1"};
    std::uint64_t m_sequence = 0;
};

TEST_F(peer_reachability, isLostOnlyWhenAllOtherDataCentresAreSilent)
{
    EXPECT_FALSE(m_peers.isPartitioned("here", start)); // No gateway of another data centre is known.
    recordReport("10.0.0.2", "here", start);
    recordReport("10.0.1.1", "there", start);
    recordReport("10.0.2.1", "elsewhere", start);
    EXPECT_FALSE(m_peers.isPartitioned("here", start + 100ms));
    recordReport("10.0.2.1", "elsewhere", start + 900ms);
    EXPECT_FALSE(m_peers.isPartitioned("here", start + 1s));
    recordReport("10.0.0.2", "here", start + 2s);
    EXPECT_TRUE(m_peers.isPartitioned("here", start + 2s));
    recordReport("10.0.1.1", "there", start + 3s);
    EXPECT_FALSE(m_peers.isPartitioned("here", start + 3s));
}

TEST_F(peer_reachability, isNotLostWhenTheyAreRemovedForGood)
{
    recordReport("10.0.1.1", "there", start);
    EXPECT_TRUE(m_peers.isPartitioned("here", start + 5s));
    EXPECT_FALSE(m_peers.isPartitioned("here", start + 60s));
}

TEST(load_report, keepsItsContentOnTheWire)
{
    load_report report;
    report.node = "gateway-1";
    report.incarnation = 7;
    report.sequence = 9;
    report.isCoordinator = true;
    report.dataCentre = "here";
    report.peers = {"10.0.0.1"};
    report.running = {{"a", 3}};
    report.groups = {{"models/g", false, {"a", "b"}, {"b"}}, {"models/h", true, {}, {}}};
    EXPECT_EQ(decodeLoadReport(encodeLoadReport(report)), report);
}

struct datagram_row
{
    const char *name; ///< Failure that the row guards against.
    std::string bytes;
};

std::string repeated(const std::string &bytes, std::size_t times)
{
    std::string text;
    for (std::size_t count = 0; count < times; ++count) {
        text += bytes;
    }
    return text;
}

class odd_datagram : public testing::TestWithParam<datagram_row>
{
};

TEST_P(odd_datagram, isNotRead)
{
    EXPECT_EQ(decodeLoadReport(GetParam().bytes), std::nullopt);
}

// As large as datagrams get.
INSTANTIATE_TEST_SUITE_P(
    rows, odd_datagram,
    testing::Values(datagram_row {"nested_arrays_exhaust_the_stack", repeated("\x91", 65000) + "\x01"},
                    datagram_row {"nested_arrays_without_an_end_exhaust_the_stack", repeated("\x91", 65507)},
                    datagram_row {"nested_maps_exhaust_the_stack", repeated("\x81\xa1x", 21800) + "\x01"},
                    datagram_row {"mixed_nesting_exhausts_the_stack", repeated("\x91\x81\xa1x", 16000) + "\x01"},
                    datagram_row {"nesting_within_a_report_exhausts_the_stack",
                                  "\x99\x02\xa1g" + repeated("\x91", 65000) + "\x01"},
                    datagram_row {"length_of_an_array_fills_the_memory", "\xdd\xff\xff\xff\xff\x01"},
                    datagram_row {"length_of_a_map_fills_the_memory", "\xdf\xff\xff\xff\xff\x01"},
                    datagram_row {"length_of_a_text_fills_the_memory", "\xdb\xff\xff\xff\xff\x01"},
                    datagram_row {"bytes_after_a_report_are_ignored", encodeLoadReport({}) + "\x01"}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(load_report, isNotReadFromOtherBytes)
{
    EXPECT_EQ(decodeLoadReport("not a report"), std::nullopt);
    EXPECT_EQ(decodeLoadReport(""), std::nullopt);
}

} // namespace

} // namespace bronzechute
