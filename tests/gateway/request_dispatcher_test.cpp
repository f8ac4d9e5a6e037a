#include "gateway/request_dispatcher.h"
#include "recorded_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

/** A group of two engines with one slot each. */
class dispatched_streams : public testing::Test
{
protected:
    dispatched_streams()
    {
        for (const char *id : {"a", "b"}) {
            endpoint_record record;
            record.id = id;
            record.service = "models";
            record.slots = 1;
            m_endpoints.update(record);
        }
    }

    void setGroup(bool open)
    {
        m_endpoints.setGroups({{"g", open, {"a", "b"}, {}}}, boot_clock::now());
    }

    /** Records streams of the group whose events have followed at this interval for some time. */
    void measure(std::chrono::milliseconds interval)
    {
        for (const auto before : {1500ms, 1000ms, 500ms, 0ms}) {
            m_endpoints.recordEvent(*m_endpoints.all().at("a"), interval, boot_clock::now() - before);
        }
    }

    std::shared_ptr<recorded_client> submit(double events)
    {
        const time_point now = boot_clock::now();
        auto client = std::make_shared<recorded_client>(stream_demand {events, now + 8s});
        waiting_request request;
        request.arrivedAt = now;
        request.expiresAt = now + 1600ms;
        m_dispatcher.submit("models", request, client);
        return client;
    }

    boost::asio::io_context m_loop;
    endpoint_table m_endpoints {"here"};
    request_dispatcher m_dispatcher {m_loop, m_endpoints, {}, 1};
};

TEST_F(dispatched_streams, areRefusedAtOnceWhenTheyCannotComplete)
{
    setGroup(true);
    measure(700ms);
    EXPECT_EQ(submit(28)->refused, refusal::cannot_complete);
    EXPECT_NE(submit(8)->endpoint, nullptr) << "a short stream completes";
}

TEST_F(dispatched_streams, doNotWaitBehindOneThatCannotCompleteAnyMore)
{
    setGroup(true);
    const std::vector running {submit(28), submit(28)};
    const auto slow = submit(28);
    const auto quick = submit(8);
    EXPECT_FALSE(slow->refused) << "the pace is not known yet";
    measure(700ms);
    m_dispatcher.release(running.front()->endpoint);
    EXPECT_EQ(slow->refused, refusal::cannot_complete);
    EXPECT_NE(quick->endpoint, nullptr);
}

TEST_F(dispatched_streams, waitWhileTheirGroupForms)
{
    setGroup(false);
    const auto first = submit(28);
    const auto second = submit(28);
    const auto third = submit(28);
    EXPECT_FALSE(first->refused);
    EXPECT_FALSE(second->refused);
    EXPECT_EQ(third->refused, refusal::no_endpoint) << "more wait than the two slots can take";
    setGroup(true);
    m_dispatcher.serveQueues();
    EXPECT_NE(first->endpoint, nullptr);
    EXPECT_NE(second->endpoint, nullptr);
}

// A caller that is told nothing comes back at once, while the endpoints are still cold.
TEST(cold_group, tellsCallersWhenThereWillBeRoom)
{
    boost::asio::io_context loop;
    endpoint_table endpoints("here");
    request_dispatcher dispatcher(loop, endpoints, {}, 1);
    routing_document document;
    document.services.emplace_back().name = "models";
    document.services.back().coldRequestsPerSecond = 14;
    endpoints.applyRouting(routing_table(document), 44);
    // This gateway does not know the others yet, so that it must not send to a cold endpoint.
    endpoints.setFleet({"10.0.0.1", {"10.0.0.1"}, 1, false});
    endpoints.setInitialListComplete();
    endpoint_record record;
    record.id = "a";
    record.service = "models";
    endpoints.update(record);
    const time_point now = boot_clock::now();
    const auto submit = [&](std::chrono::milliseconds patience) {
        auto client = std::make_shared<recorded_client>(std::nullopt);
        waiting_request request;
        request.arrivedAt = now;
        request.expiresAt = now + patience;
        dispatcher.submit("models", request, client);
        return client;
    };
    const auto refused = submit(1600ms);
    EXPECT_EQ(refused->refused, refusal::wait_too_long);
    EXPECT_GT(refused->wait, 3500ms);
    EXPECT_LE(refused->wait, 4s);
    EXPECT_FALSE(submit(8s)->refused) << "it waits, as there will be room in time";
}

/** @returns how many of 60 gateways take the less loaded of two endpoints, by what they know of the others. */
int takeTheLessLoaded(const std::map<std::string, endpoint_load> &peers, int ownAtBusier)
{
    int taken = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        boost::asio::io_context loop;
        endpoint_table endpoints("here");
        for (const char *id : {"busier", "less_loaded"}) {
            endpoint_record record;
            record.id = id;
            record.service = "models";
            record.slots = 10;
            record.dataCentre = "here";
            endpoints.update(record);
        }
        endpoints.setPeerLoads(peers);
        endpoints.all().at("busier")->ownRunning = ownAtBusier;
        request_dispatcher dispatcher(loop, endpoints, {}, seed);
        const time_point now = boot_clock::now();
        auto client = std::make_shared<recorded_client>(std::nullopt);
        waiting_request request;
        request.arrivedAt = now;
        request.expiresAt = now + 1600ms;
        dispatcher.submit("models", request, client);
        taken += client->endpoint->record.id == "less_loaded" ? 1 : 0;
    }
    return taken;
}

// Guards against an endpoint that is overrun by all gateways at once.
TEST(dispatched_together, gatewaysOnTheSameKnowledgeDoNotAllTakeTheSame)
{
    const int taken = takeTheLessLoaded({{"busier", {5, 0}}, {"less_loaded", {4, 0}}}, 0);
    EXPECT_GT(taken, 30);
    EXPECT_LT(taken, 60);
}

TEST(dispatched_together, aGatewayWithoutOthersTakesTheLessLoaded)
{
    EXPECT_EQ(takeTheLessLoaded({}, 1), 60);
}

/** What the other gateways report, without a network. */
class scripted_fleet : public fleet_view
{
public:
    std::string self() const override
    {
        return "10.0.0.1";
    }

    std::vector<std::string> members(time_point) const override
    {
        return {"10.0.0.1", "10.0.0.2"};
    }

    bool isDiscovered(time_point) const override
    {
        return true;
    }

    queue_summary othersQueues(const std::string &, time_point) const override
    {
        return others;
    }

    queue_summary others;
};

/** Endpoints with one slot each, and requests of some priority. */
class shared_room : public testing::Test
{
protected:
    void addEndpoints(int count)
    {
        for (int number = 0; number < count; ++number) {
            endpoint_record record;
            record.id = "e" + std::to_string(number);
            record.service = "models";
            record.slots = 1;
            m_endpoints.update(record);
        }
        m_dispatcher.setFleetView(&m_fleet);
        m_dispatcher.setFleet({"10.0.0.1", {"10.0.0.1", "10.0.0.2"}, 2, true});
    }

    std::shared_ptr<recorded_client> submit(int priority = 0)
    {
        const time_point now = boot_clock::now();
        auto client = std::make_shared<recorded_client>(std::nullopt);
        waiting_request request;
        request.priority = priority;
        request.arrivedAt = now;
        request.latestOnTimeStart = now + 10s;
        request.expiresAt = now + 20s;
        m_dispatcher.submit("models", request, client);
        return client;
    }

    int placed(int requests)
    {
        int count = 0;
        for (int number = 0; number < requests; ++number) {
            count += submit()->endpoint != nullptr ? 1 : 0;
        }
        return count;
    }

    boost::asio::io_context m_loop;
    endpoint_table m_endpoints {"here"};
    request_dispatcher m_dispatcher {m_loop, m_endpoints, {}, 1};
    scripted_fleet m_fleet;
};

// Guards against the same free slots that are taken by all gateways at once.
TEST_F(shared_room, isLeftToGatewaysWhereMoreWait)
{
    m_fleet.others.waiting = 40;
    m_fleet.others.waitingByRank = {{0, 40}};
    addEndpoints(12);
    EXPECT_LE(placed(4), 2);
}

// Guards against urgent requests that are held back for less urgent ones elsewhere.
TEST_F(shared_room, isNotLeftToLessUrgentRequests)
{
    m_fleet.others.waiting = 40;
    m_fleet.others.waitingByRank = {{orderRank(1, false), 40}};
    addEndpoints(12);
    EXPECT_EQ(placed(12), 12);
}

// Guards against limits that hold after the others have fallen silent, or for others of an earlier version.
TEST_F(shared_room, isTakenWholeWhenNothingIsHeardOfTheOthers)
{
    addEndpoints(12);
    EXPECT_EQ(placed(12), 12);
}

// Guards against a configuration that takes the place of requests that wait.
TEST_F(shared_room, servesThoseThatWaitAfterAChangeOfPriorities)
{
    addEndpoints(1);
    const auto running = submit(1);
    const auto before = submit(1);
    const auto after = submit(0);
    ASSERT_NE(running->endpoint, nullptr);
    m_dispatcher.release(running->endpoint);
    EXPECT_NE(after->endpoint, nullptr);
    EXPECT_EQ(before->endpoint, nullptr);
    m_dispatcher.release(after->endpoint);
    EXPECT_NE(before->endpoint, nullptr);
    EXPECT_FALSE(before->refused);
}

// Guards against gateways that know nothing of what waits and was promised here.
TEST_F(shared_room, isReportedToTheOthers)
{
    addEndpoints(1);
    submit();
    submit();
    EXPECT_EQ(m_dispatcher.promiseReturn("models", {refusal_cause::unavailable, 0ms, 900ms}) <= 900ms, true);
    const queue_summary summary = m_dispatcher.summaries().at("models");
    EXPECT_EQ(summary.waiting, 1);
    EXPECT_EQ(summary.promisedReturns + summary.laterReturns[0], 1);
    EXPECT_EQ(summary.startsPerSecond, 1);
}

} // namespace

} // namespace bronzechute
