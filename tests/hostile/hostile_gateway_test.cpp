#include "caller_crowd.h"
#include "process_usage.h"

#include "standins/gateway_site.h"
#include "standins/http_fetch.h"
#include "standins/local_system.h"
#include "standins/site_document.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <sys/socket.h>

namespace bronzechute::standins {

namespace {

// Limits in the settings of the gateway under test. The bounds below follow from them.
constexpr std::size_t memoryLimitMb = 48;
constexpr std::size_t descriptorLimit = 600;
constexpr std::size_t bodyLimitBytes = 1024UL * 1024; ///< Default of the operators' configuration.
#if defined(__SANITIZE_ADDRESS__)
// The sanitizer keeps freed memory and pads each allocation; its default quarantine alone is 256 MiB.
constexpr std::size_t peakLimitBytes = 3 * memoryLimitMb * 1000 * 1000 + 256UL * 1024 * 1024;
#else
constexpr std::size_t peakLimitBytes = memoryLimitMb * 1000 * 1000;
#endif

struct crowd_place
{
    const char *name;
    const char *listener; ///< "http", "status" or "peers".
    const char *target;
    bool hasKey;
};

struct hostile_row
{
    crowd_place place;
    crowd_behaviour crowd;
};

std::ostream &operator<<(std::ostream &out, const hostile_row &row)
{
    return out << row.crowd.name << " " << row.place.name;
}

/** One gateway with low limits and one endpoint. The gateway is started again for each row. */
class hostile_gateway : public testing::Test
{
public:
    static void SetUpTestSuite()
    {
        limitSanitizerQuarantine();
        deployment = std::make_unique<gateway_site>();
        deployment->startStore();
        deployment->put("op/config", siteDocument(10));
        deployment->startEndpoint("office-1", site_names::plainService, "here");
        deployment->startGateway("gateway", "here");
        deployment->changeSettings("gateway",
                                   "limits: {memory_mb: " + std::to_string(memoryLimitMb)
                                       + ", max_descriptors: " + std::to_string(descriptorLimit) + "}\n");
    }

    static void TearDownTestSuite()
    {
        deployment.reset();
    }

protected:
    void SetUp() override
    {
        deployment->restartGateway("gateway");
        ASSERT_TRUE(deployment->waitReady("gateway"));
        ASSERT_TRUE(eventuallyTrue([] { return statusOf({}) == 200; }));
    }

    static long statusOf(const std::string &body)
    {
        fetch_request request;
        request.url = deployment->url("gateway") + "/order/ordinary";
        request.method = "POST";
        request.headers = {{"Host", site_names::host},
                           {"X-Attempt-Id", "ordinary-" + std::to_string(++requests)},
                           {"X-Deadline-Ms", "3000"},
                           {"Authorization", std::string("Bearer ") + site_names::key}};
        request.body = body;
        return fetch(request).status;
    }

    static pid_t process()
    {
        return deployment->process("gateway").pid();
    }

    static socket_address addressOf(const crowd_place &place)
    {
        const std::string listener = place.listener;
        return *parseSocketAddress(listener == "peers" ? deployment->peersAddress("gateway")
                                                       : deployment->process("gateway").ready(listener));
    }

    static std::unique_ptr<gateway_site> deployment;
    static int requests;
};

std::unique_ptr<gateway_site> hostile_gateway::deployment;
int hostile_gateway::requests = 0;

class hostile_crowd : public hostile_gateway, public testing::WithParamInterface<hostile_row>
{
};

// Callers that do not behave ended processes of such systems: they ran out of memory or descriptors.
TEST_P(hostile_crowd, staysWithinTheLimitsAndIsFollowedByAnOrdinaryAnswer)
{
    const crowd_place &place = GetParam().place;
    const int transport = std::string(place.listener) == "peers" ? SOCK_DGRAM : SOCK_STREAM;
    caller_crowd crowd(addressOf(place), GetParam().crowd, transport);
    process_usage most;
    crowd.press([&] {
        const process_usage usage = process_usage::of(process());
        most.peakBytes = std::max(most.peakBytes, usage.peakBytes);
        most.descriptors = std::max(most.descriptors, usage.descriptors);
    });
    RecordProperty("peak_kb", static_cast<int>(most.peakBytes / 1024));
    RecordProperty("descriptors", static_cast<int>(most.descriptors));
    EXPECT_LE(most.peakBytes, peakLimitBytes);
    EXPECT_LE(most.descriptors, descriptorLimit);
    // The crowd is still connected. A refused caller comes back, as the users' pages say.
    EXPECT_TRUE(eventuallyTrue([] { return statusOf("ordinary") == 200; })) << "an ordinary caller is not served";
    EXPECT_TRUE(deployment->ready("gateway"));
    EXPECT_EQ(deployment->process("gateway").waitForExit(std::chrono::milliseconds(0)), std::nullopt);
}

std::vector<hostile_row> hostileRows()
{
    constexpr std::array<crowd_place, 7> places {{
        {"at_a_route_with_a_key", "http", "/order/x", true},
        {"at_a_route_without_a_key", "http", "/order/x", false},
        {"at_no_route", "http", "/none/x", true},
        {"at_the_ready_path_of_the_door", "http", "/v1/readyz", false},
        {"at_the_ready_path", "status", "/v1/readyz", false},
        {"at_the_status_listener", "status", "/metrics", false},
        {"at_the_peers_port", "peers", "/order/x", true},
    }};
    std::vector<hostile_row> rows;
    for (const crowd_place &place : places) {
        std::string fields = std::string("Host: ") + site_names::host + "\r\nX-Attempt-Id: crowd\r\n";
        if (place.hasKey) {
            fields += std::string("Authorization: Bearer ") + site_names::key + "\r\n";
        }
        for (const crowd_behaviour &behaviour : crowdBehaviours(place.target, fields, bodyLimitBytes)) {
            rows.push_back({place, behaviour});
        }
    }
    return rows;
}

INSTANTIATE_TEST_SUITE_P(rows, hostile_crowd, testing::ValuesIn(hostileRows()),
                         [](const auto &row) { return row.param.crowd.name + "_" + row.param.place.name; });

// A limit that a request within the users' pages meets in calm would refuse ordinary callers.
TEST_F(hostile_gateway, servesTheLargestLegalBodyInCalm)
{
    EXPECT_EQ(statusOf(std::string(bodyLimitBytes, 'x')), 200);
}

} // namespace

} // namespace bronzechute::standins
