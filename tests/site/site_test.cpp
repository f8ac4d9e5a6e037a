#include "standins/gateway_site.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "standins/routed_answer.h"
#include "standins/site_document.h"
#include "standins/site_request.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace bronzechute::standins {

namespace {

using namespace std::chrono_literals;

constexpr int streamEvents = 8;

/** Two gateways and two endpoints of each service, shared by all tests. Each test ends the faults that it injects. */
class site : public testing::Test
{
public:
    static void SetUpTestSuite()
    {
        deployment = std::make_unique<gateway_site>();
        deployment->startStore();
        deployment->put("op/config", siteDocument(++version));
        for (const char *name : {"office-1", "office-2"}) {
            deployment->startEndpoint(name, site_names::plainService, "here");
        }
        for (const char *name : {"model-1", "model-2"}) {
            deployment->startEndpoint(name, site_names::modelService, "here");
        }
        deployment->startGateway("gateway-1", "here");
        deployment->startGateway("gateway-2", "here");
        ASSERT_TRUE(deployment->waitReady("gateway-1"));
        ASSERT_TRUE(deployment->waitReady("gateway-2"));
        ASSERT_TRUE(eventuallyTrue([] { return served("gateway-1") && served("gateway-2"); }));
    }

    static void TearDownTestSuite()
    {
        deployment.reset();
    }

protected:
    static fetch_request requestOf(const std::string &gateway, const std::string &path)
    {
        return siteRequest(deployment->url(gateway) + path, "request-" + std::to_string(++requests), 3000ms);
    }

    static std::string idOf(const fetch_request &request)
    {
        return *findHeader(request.headers, "X-Attempt-Id");
    }

    static long statusOf(const std::string &gateway, const std::string &path)
    {
        return fetch(requestOf(gateway, path)).status;
    }

    static bool served(const std::string &gateway)
    {
        return statusOf(gateway, "/read/1") == 200;
    }

    /** Publishes a new configuration version. @returns whether the gateway serves it within the limit */
    static bool appliesNewVersion(const std::string &gateway, std::chrono::seconds limit)
    {
        ++version;
        deployment->put("op/config", siteDocument(version));
        return eventuallyTrue([&] { return statusOf(gateway, "/marker-" + std::to_string(version) + "/1") == 200; },
                              limit);
    }

    static bool logged(const std::string &gateway, const std::string &text)
    {
        return eventuallyTrue([&] { return deployment->process(gateway).output().find(text) != std::string::npos; },
                              10s);
    }

    static std::unique_ptr<gateway_site> deployment;
    static std::int64_t version;
    static int requests;
};

std::unique_ptr<gateway_site> site::deployment;
std::int64_t site::version = 10;
int site::requests = 0;

struct kind_row
{
    const char *name; ///< Failure that the row guards against.
    const char *path;
    const char *method;
};

class site_kinds : public site, public testing::WithParamInterface<kind_row>
{
};

TEST_P(site_kinds, areServedByEachGateway)
{
    for (const char *gateway : {"gateway-1", "gateway-2"}) {
        fetch_request request = requestOf(gateway, GetParam().path);
        request.method = GetParam().method;
        const fetch_answer answer = fetch(request);
        EXPECT_EQ(answer.code, CURLE_OK);
        EXPECT_EQ(answer.status, 200) << answer.body;
        std::string expected;
        if (std::string(GetParam().path).starts_with("/stream/")) {
            for (int number = 1; number <= streamEvents; ++number) {
                expected += routedEvent(idOf(request), number);
            }
        } else {
            expected = routedBody(idOf(request), GetParam().path);
        }
        EXPECT_EQ(answer.body, expected);
        EXPECT_EQ(findHeader(answer.headers, "X-Server-Signature"), routedSignature(idOf(request)));
    }
}

INSTANTIATE_TEST_SUITE_P(rows, site_kinds,
                         testing::Values(kind_row {"read_not_served", "/read/a", "GET"},
                                         kind_row {"order_not_served", "/order/a", "POST"},
                                         kind_row {"stream_not_served", "/stream/a", "POST"}),
                         [](const auto &row) { return std::string(row.param.name); });

struct store_row
{
    const char *name; ///< Failure that the row guards against.
    const char *target; ///< Stand-in that injects the fault.
    const char *faults;
    std::chrono::milliseconds duration;
    const char *recovery;
};

class site_store : public site, public testing::WithParamInterface<store_row>
{
};

TEST_P(site_store, faultDoesNotStopRequestsOrTheNextVersion)
{
    deployment->inject(GetParam().target, nlohmann::json::parse(GetParam().faults));
    const auto end = std::chrono::steady_clock::now() + GetParam().duration;
    do {
        EXPECT_TRUE(served("gateway-1"));
        std::this_thread::sleep_for(50ms);
    } while (std::chrono::steady_clock::now() < end);
    deployment->inject(GetParam().target, nlohmann::json::parse(GetParam().recovery));
    // A call to a silent store times out after 3 s; 4 s are left for the rest.
    EXPECT_TRUE(appliesNewVersion("gateway-1", 7s));
    EXPECT_TRUE(eventuallyTrue([] { return served("gateway-1"); }, 3s));
}

INSTANTIATE_TEST_SUITE_P(
    rows, site_store,
    testing::Values(
        store_row {"refusing_store_stops_requests", "store", R"({"outage": true})", 3000ms, R"({"outage": false})"},
        store_row {"closing_store_stops_requests", "store", R"({"outage": true, "outage_closes": true})", 2500ms,
                   R"({"outage": false, "outage_closes": false})"},
        store_row {"silent_connection_is_kept", "gateway-1.store", R"({"silence_open": true})", 500ms, "{}"},
        store_row {"slow_store_is_taken_for_dead", "store", R"({"delay_ms": 600})", 2000ms, R"({"delay_ms": 0})"},
        store_row {"dropped_history_ends_the_watch", "store", R"({"drop_history": true, "cut_watches": true})", 0ms,
                   "{}"},
        store_row {"small_pages_hide_entries", "store", R"({"page_size": 2, "drop_history": true})", 500ms,
                   R"({"page_size": 500})"},
        store_row {"cut_towards_the_store", "gateway-1.store", R"({"pause_up": true})", 3500ms,
                   R"({"pause_up": false})"},
        store_row {"cut_from_the_store", "gateway-1.store", R"({"pause_down": true})", 3500ms,
                   R"({"pause_down": false})"}),
    [](const auto &row) { return std::string(row.param.name); });

TEST_F(site, keepsTheVersionInForceWhenADocumentIsInvalid)
{
    deployment->put("op/config", R"({"version": 1000000, "routes": [{"name": "broken"}]})");
    EXPECT_TRUE(logged("gateway-1", "routing configuration refused"));
    EXPECT_TRUE(served("gateway-1"));
    EXPECT_TRUE(appliesNewVersion("gateway-1", 7s));
}

TEST_F(site, ignoresEntriesThatNameNoEndpoint)
{
    const char *const service = site_names::plainService;
    deployment->put("servers/garbage", "\xff not json");
    deployment->put("servers/wrong-type", R"({"service": 7, "address": "127.0.0.1:9", "state": "ready"})");
    deployment->put("servers/wrong-state",
                    nlohmann::json {{"service", service}, {"address", "127.0.0.1:9"}, {"state", "maybe"}}.dump());
    EXPECT_TRUE(logged("gateway-1", "wrong-state"));
    for (int attempt = 0; attempt < 20; ++attempt) {
        EXPECT_TRUE(served("gateway-1"));
    }
}

TEST_F(site, answersUnavailableWhileItKnowsNoConfiguration)
{
    deployment->inject("gateway-2.store", {{"refuse_new", true}, {"cut_open", true}});
    deployment->restartGateway("gateway-2");
    EXPECT_FALSE(deployment->ready("gateway-2"));
    EXPECT_EQ(statusOf("gateway-2", "/read/1"), 503);
    EXPECT_EQ(statusOf("gateway-2", "/unknown/1"), 503);
    deployment->inject("gateway-2.store", {{"refuse_new", false}});
    EXPECT_TRUE(deployment->waitReady("gateway-2"));
    EXPECT_TRUE(eventuallyTrue([] { return served("gateway-2"); }, 3s));
}

TEST_F(site, servesWhileAnEndpointRestartsUnderItsId)
{
    deployment->process("office-1").kill();
    EXPECT_TRUE(eventuallyTrue([] { return served("gateway-1"); }, 2s));
    deployment->restartEndpoint("office-1");
    EXPECT_TRUE(eventuallyTrue(
        [] {
            served("gateway-1");
            const auto stats = deployment->stats("office-1");
            return stats.is_object() && !stats.at("runs").empty();
        },
        10s))
        << "the endpoint gets no requests after its restart";
}

TEST_F(site, servesEachReadElsewhereWhileALinkIsCutOneWay)
{
    std::this_thread::sleep_for(10s); // In its first window, a gateway has no fixed part of the retry budget.
    deployment->inject("office-1.link", {{"pause_down", true}});
    for (int attempt = 0; attempt < 10; ++attempt) {
        EXPECT_TRUE(served("gateway-1"));
    }
    deployment->inject("office-1.link", {{"pause_down", false}, {"cut_open", true}});
}

TEST(partitioned_site, redirectsItsCallersUntilItIsReachableAgain)
{
    gateway_site deployment;
    deployment.startStore();
    deployment.put("op/config", siteDocument(1));
    deployment.startEndpoint("office-1", site_names::plainService, "here");
    deployment.startGateway("gateway-here", "here");
    deployment.startGateway("gateway-there", "there");
    ASSERT_TRUE(deployment.waitReady("gateway-here"));
    ASSERT_TRUE(deployment.waitReady("gateway-there"));
    int requests = 0;
    const auto ask = [&] {
        return fetch(
            siteRequest(deployment.url("gateway-here") + "/read/1", "cut-off-" + std::to_string(++requests), 600ms));
    };
    ASSERT_TRUE(eventuallyTrue([&] { return ask().status == 200; }));
    const auto seesPeer = [&] {
        return deployment.output("gateway-here").find("other gateways in reach changed") != std::string::npos;
    };
    ASSERT_TRUE(eventuallyTrue(seesPeer));
    deployment.process("gateway-there").freeze();
    std::this_thread::sleep_for(1500ms);
    EXPECT_TRUE(deployment.ready("gateway-here")); // It can still serve its callers.
    deployment.inject("office-1.link", {{"pause_down", true}});
    EXPECT_TRUE(eventuallyTrue([&] {
        ask();
        return !deployment.ready("gateway-here");
    }));
    const fetch_answer refused = ask();
    EXPECT_EQ(refused.status, 503);
    EXPECT_TRUE(findHeader(refused.headers, "Retry-After").has_value());
    deployment.process("gateway-there").thaw();
    EXPECT_TRUE(deployment.waitReady("gateway-here"));
}

TEST_F(site, noticesChangedSettingsWithoutASignal)
{
    deployment->changeSettings("gateway-1", "log: {level: debug}\n");
    EXPECT_TRUE(logged("gateway-1", "settings read again"));
    deployment->changeSettings("gateway-1", "log: {level: wrong}\n");
    EXPECT_TRUE(logged("gateway-1", "changed settings refused"));
    EXPECT_TRUE(served("gateway-1"));
    deployment->changeSettings("gateway-1", "");
}

TEST_F(site, stopsInTimeWhileTheStoreIsSilent)
{
    // The platform kills a process that has not exited soon after its drain timeout, so nothing may block on the store.
    constexpr auto drainTimeout = 4000ms;
    deployment->inject("gateway-2.store", {{"silence_open", true}, {"silence_new", true}});
    std::this_thread::sleep_for(300ms);
    deployment->process("gateway-2").signal(SIGTERM);
    EXPECT_EQ(deployment->process("gateway-2").waitForExit(drainTimeout), 0);
    deployment->inject("gateway-2.store", {{"silence_new", false}, {"cut_open", true}});
    deployment->restartGateway("gateway-2");
    EXPECT_TRUE(deployment->waitReady("gateway-2"));
}

TEST_F(site, finishesStreamsWhileItStops)
{
    fetch_answer answer;
    const fetch_request request = requestOf("gateway-2", "/stream/last");
    std::thread caller([&] { answer = fetch(request); });
    std::this_thread::sleep_for(100ms);
    deployment->process("gateway-2").signal(SIGTERM);
    caller.join();
    EXPECT_EQ(answer.code, CURLE_OK);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(deployment->process("gateway-2").waitForExit(5s), 0);
    deployment->restartGateway("gateway-2");
    EXPECT_TRUE(deployment->waitReady("gateway-2"));
}

} // namespace

} // namespace bronzechute::standins
