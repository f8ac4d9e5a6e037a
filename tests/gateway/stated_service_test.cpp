#include "gateway/request_dispatcher.h"
#include "recorded_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

/** What is known of an endpoint when a request arrives. */
struct known_endpoint
{
    bool saysLeaving = false;
    bool listedAsLeaving = false;
    std::chrono::milliseconds pause {0};
    bool failedBefore = false;
    bool groupClosed = false;
};

enum class placement { placed, queued, refused };

struct stated_service_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<known_endpoint> endpoints;
    placement expected;
    std::chrono::milliseconds leastWait {0}; ///< That a refused request is told.
    std::chrono::milliseconds mostWait {0};
};

/** A service whose endpoints have one slot each. Requests wait for 1.6 s at most. */
class stated_service
{
public:
    explicit stated_service(const std::vector<known_endpoint> &known)
    {
        for (const known_endpoint &each : known) {
            add(each);
        }
    }

    std::shared_ptr<recorded_client> submit()
    {
        auto client = std::make_shared<recorded_client>();
        waiting_request request;
        request.arrivedAt = boot_clock::now();
        request.expiresAt = request.arrivedAt + 1600ms;
        dispatcher.submit("models", request, client);
        return client;
    }

    void state(const std::string &id, const endpoint_statement &statement)
    {
        endpoints.recordStatement(*endpoints.all().at(id), statement, boot_clock::now(), dispatcher.random());
    }

    boost::asio::io_context loop;
    endpoint_table endpoints {"here"};
    request_dispatcher dispatcher {loop, endpoints, {}, 1};

private:
    void add(const known_endpoint &each)
    {
        endpoint_record record;
        record.id = std::string(1, static_cast<char>('a' + endpoints.size()));
        record.service = "models";
        record.slots = 1;
        record.leaving = each.listedAsLeaving;
        endpoints.update(record);
        endpoint_statement statement;
        statement.leaving = each.saysLeaving;
        if (each.pause.count() > 0) {
            statement.pause = each.pause;
        }
        state(record.id, statement);
        if (each.failedBefore) {
            endpoints.all().at(record.id)->suspectUntil = boot_clock::now() + 5s;
        }
        if (each.groupClosed) {
            endpoints.setGroups({{"g", false, {record.id}, {}}}, boot_clock::now());
        }
    }
};

class request_to_a_stated_service : public testing::TestWithParam<stated_service_row>
{
};

TEST_P(request_to_a_stated_service, isPlacedOrToldAtOnce)
{
    const stated_service_row &row = GetParam();
    stated_service service(row.endpoints);
    const auto client = service.submit();
    EXPECT_EQ(client->endpoint != nullptr, row.expected == placement::placed);
    ASSERT_EQ(client->refused.has_value(), row.expected == placement::refused);
    if (client->refused) {
        EXPECT_EQ(client->refused, refusal::no_endpoint);
        EXPECT_GE(client->wait, row.leastWait);
        EXPECT_LE(client->wait, row.mostWait);
    }
}

const known_endpoint leaves {.saysLeaving = true};
const known_endpoint isListedAsLeaving {.listedAsLeaving = true};
const known_endpoint pausesLong {.pause = 60s};
const known_endpoint pausesShortly {.pause = 800ms};

INSTANTIATE_TEST_SUITE_P(
    rows, request_to_a_stated_service,
    testing::Values(
        stated_service_row {
            "endpoint_that_failed_not_tried_beside_a_pause", {pausesLong, {.failedBefore = true}}, placement::placed},
        stated_service_row {"endpoint_that_failed_not_tried_beside_one_that_leaves",
                            {leaves, {.failedBefore = true}},
                            placement::placed},
        stated_service_row {"others_not_tried_beside_liars", {leaves, pausesLong, {}}, placement::placed},
        stated_service_row {"waits_in_vain_when_the_last_endpoint_leaves", {leaves}, placement::refused},
        stated_service_row {"waits_in_vain_when_all_leave", {leaves, isListedAsLeaving}, placement::refused},
        stated_service_row {"waits_in_vain_for_a_long_pause", {pausesLong, leaves}, placement::refused, 59s, 60400ms},
        stated_service_row {"end_of_a_pause_counts_though_the_endpoint_leaves",
                            {{.saysLeaving = true, .pause = 5s}, pausesLong},
                            placement::refused,
                            59s,
                            60400ms},
        stated_service_row {
            "refused_though_a_short_pause_ends_in_time", {pausesLong, pausesShortly}, placement::queued},
        stated_service_row {
            "refused_though_a_group_may_reopen", {pausesLong, {.groupClosed = true}}, placement::queued}),
    [](const auto &row) { return std::string(row.param.name); });

const std::vector<known_endpoint> oneEndpoint {known_endpoint {}};

TEST(queued_at_a_stated_service, isRefusedAsSoonAsTheLastEndpointLeaves)
{
    stated_service service(oneEndpoint);
    const auto running = service.submit();
    const auto queued = service.submit();
    ASSERT_NE(running->endpoint, nullptr);
    ASSERT_FALSE(queued->refused);
    service.state("a", {true, {}, false});
    service.dispatcher.serveQueues();
    EXPECT_EQ(queued->refused, refusal::no_endpoint);
}

TEST(queued_at_a_stated_service, isRefusedAsSoonAsAllPauseForLonger)
{
    stated_service service(oneEndpoint);
    const auto running = service.submit();
    const auto queued = service.submit();
    service.state("a", {false, 30s, false});
    service.dispatcher.release(running->endpoint);
    EXPECT_EQ(queued->endpoint, nullptr);
    EXPECT_EQ(queued->refused, refusal::no_endpoint);
    EXPECT_GT(queued->wait, 29s);
}

TEST(queued_at_a_stated_service, isPlacedAfterAShortPauseAndNotBefore)
{
    stated_service service(std::vector<known_endpoint> {{.pause = 300ms}});
    const time_point begin = boot_clock::now();
    const auto queued = service.submit();
    while (queued->endpoint == nullptr && boot_clock::now() < begin + 1500ms) {
        std::this_thread::sleep_for(5ms);
        service.dispatcher.serveQueues();
    }
    ASSERT_NE(queued->endpoint, nullptr);
    EXPECT_GE(boot_clock::now() - begin, 295ms); // The pause began a little before.
}

// More requests than all slots take at the end of the pause.
TEST(queued_at_a_stated_service, beyondItsSlotsIsToldWhenThePauseEnds)
{
    stated_service service(std::vector<known_endpoint> {pausesShortly});
    EXPECT_FALSE(service.submit()->refused);
    const auto further = service.submit();
    EXPECT_EQ(further->refused, refusal::no_endpoint);
    EXPECT_GT(further->wait, 700ms);
    EXPECT_LE(further->wait, 1s);
}

} // namespace

} // namespace bronzechute
