#include "gateway/endpoint_statement.h"
#include "gateway/endpoint_table.h"
#include "gateway_harness.h"
#include "scripted_answers.h"

#include <gtest/gtest.h>

#include <atomic>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

struct statement_row
{
    const char *name; ///< Failure that the row guards against.
    int status;
    header_list headers;
    endpoint_statement expected;
};

class statement_of_a_response : public testing::TestWithParam<statement_row>
{
};

TEST_P(statement_of_a_response, isRead)
{
    EXPECT_EQ(readStatement({GetParam().status, "", GetParam().headers}, wire_headers {}), GetParam().expected);
}

const endpoint_statement nothing;
const endpoint_statement leaving {true, {}, false};
const endpoint_statement ignored {false, {}, true};

endpoint_statement pauseOf(std::chrono::milliseconds time)
{
    return {false, time, false};
}

INSTANTIATE_TEST_SUITE_P(
    rows, statement_of_a_response,
    testing::Values(
        statement_row {"leaving_missed_in_a_success", 200, {{"X-Leaving", "1"}}, leaving},
        statement_row {"leaving_missed_in_a_refusal", 503, {{"x-leaving", "1"}}, leaving},
        statement_row {"other_value_taken_for_leaving", 200, {{"X-Leaving", "0"}}, nothing},
        statement_row {"whole_seconds_missed", 503, {{"Retry-After", "2"}}, pauseOf(2000ms)},
        statement_row {"fraction_cut_off", 503, {{"Retry-After", "0.25"}}, pauseOf(250ms)},
        statement_row {"pause_without_a_promise_missed", 503, {{"retry-after", "1.5"}}, pauseOf(1500ms)},
        statement_row {"pause_read_from_another_status", 429, {{"Retry-After", "2"}}, nothing},
        statement_row {"pause_read_from_a_success", 200, {{"Retry-After", "2"}}, nothing},
        statement_row {"zero_taken_for_a_pause", 503, {{"Retry-After", "0"}}, ignored},
        statement_row {"negative_pause_taken", 503, {{"Retry-After", "-3"}}, ignored},
        statement_row {"text_taken_for_a_pause", 503, {{"Retry-After", "soon"}}, ignored},
        statement_row {"number_with_a_unit_taken", 503, {{"Retry-After", "3s"}}, ignored},
        statement_row {"not_a_number_taken", 503, {{"Retry-After", "nan"}}, ignored},
        statement_row {"infinity_taken", 503, {{"Retry-After", "inf"}}, ignored},
        statement_row {"date_taken_for_seconds", 503, {{"Retry-After", "Sun, 06 Dec 2026 07:00:00 GMT"}}, ignored},
        statement_row {"empty_pause_taken", 503, {{"Retry-After", ""}}, ignored},
        statement_row {"hour_cut_short", 503, {{"Retry-After", "3600"}}, pauseOf(3600000ms)},
        statement_row {"years_are_not_bounded", 503, {{"Retry-After", "999999999"}}, pauseOf(maxEndpointPause)},
        statement_row {
            "overflow_is_not_bounded", 503, {{"Retry-After", std::string(400, '9')}}, pauseOf(maxEndpointPause)},
        statement_row {
            "shorter_of_two_pauses_taken", 503, {{"Retry-After", "1"}, {"Retry-After", "4"}}, pauseOf(4000ms)},
        statement_row {"valid_pause_lost_beside_an_invalid_one",
                       503,
                       {{"Retry-After", "x"}, {"Retry-After", "4"}},
                       {false, 4000ms, true}}),
    [](const auto &row) { return std::string(row.param.name); });

const time_point now {1h};

class stated_endpoint : public testing::Test
{
protected:
    stated_endpoint()
    {
        m_record.id = "a";
        m_record.service = "models";
        m_record.startedAtMs = 1000;
        m_table.update(m_record);
    }

    bool usableAt(time_point at) const
    {
        return m_table.viewOf(*m_table.all().at("a"), {}, at).usable;
    }

    void state(const endpoint_statement &statement)
    {
        m_table.recordStatement(*m_table.all().at("a"), statement, now, m_random);
    }

    endpoint_table m_table {"here"};
    endpoint_record m_record;
    std::mt19937_64 m_random {7};
};

// A listing that was written before the answer arrives after it.
TEST_F(stated_endpoint, staysLeavingWhateverTheDirectorySays)
{
    state(leaving);
    m_table.update(m_record);
    EXPECT_FALSE(usableAt(now + 1h));
    EXPECT_FALSE(m_table.anyUsable("models", now));
}

TEST_F(stated_endpoint, doesNotHoldBackTheNextRunAtItsAddress)
{
    state(leaving);
    state(pauseOf(5000ms));
    m_record.startedAtMs = 2000;
    m_table.update(m_record);
    EXPECT_TRUE(usableAt(now));
}

TEST_F(stated_endpoint, getsNothingWithinItsPauseAndSomethingSoonAfterIt)
{
    state(pauseOf(2000ms));
    state(pauseOf(500ms)); // A later, shorter pause does not end the earlier one.
    EXPECT_FALSE(usableAt(now + 1999ms));
    EXPECT_TRUE(usableAt(now + 2400ms));
    EXPECT_EQ(m_table.earliestRoom("models", now), m_table.all().at("a")->pausedUntil);
}

TEST_F(stated_endpoint, thatLeavesNamesNoEndOfItsPause)
{
    state(pauseOf(2000ms));
    state(leaving);
    EXPECT_EQ(m_table.earliestRoom("models", now), time_point::max());
}

// An entry lapses when its heartbeats are lost, for instance while the store is out; the process goes on.
TEST_F(stated_endpoint, isHeldToItsWordWhenItsEntryLapsesAndReturns)
{
    state(leaving);
    m_table.remove("a");
    m_table.update(m_record);
    EXPECT_FALSE(usableAt(now + 1h));
}

TEST_F(stated_endpoint, isHeldToItsPauseWhenItsEntryLapsesAndReturns)
{
    const time_point statedAt = boot_clock::now(); // The table takes the time of a removal from the clock.
    m_table.recordStatement(*m_table.all().at("a"), pauseOf(60000ms), statedAt, m_random);
    m_table.remove("a");
    m_table.update(m_record);
    EXPECT_FALSE(usableAt(statedAt + 59s));
    EXPECT_TRUE(usableAt(statedAt + 61s));
}

// A listing of the earlier run arrives late, between two of the run that has spoken.
TEST_F(stated_endpoint, isHeldToItsWordBesideALateListingOfTheRunBefore)
{
    state(leaving);
    endpoint_record earlier = m_record;
    earlier.startedAtMs = 500;
    m_table.update(earlier);
    m_table.update(m_record);
    EXPECT_FALSE(usableAt(now + 1h));
}

TEST_F(stated_endpoint, doesNotHoldBackTheNextRunAfterItsEntryLapsed)
{
    state(leaving);
    m_table.remove("a");
    m_record.startedAtMs = 2000;
    m_table.update(m_record);
    EXPECT_TRUE(usableAt(now));
}

// Runs whose start is not given cannot be told apart; a new one must not be held back.
TEST(unlisted_endpoint, withoutAStartIsNotRemembered)
{
    unlisted_statements kept;
    gateway_endpoint endpoint;
    endpoint.saysLeaving = true;
    kept.keep(endpoint, now);
    EXPECT_EQ(kept.size(), 0U);
}

TEST(unlisted_endpoint, takesBoundedMemory)
{
    unlisted_statements kept;
    gateway_endpoint endpoint;
    endpoint.saysLeaving = true;
    for (std::size_t run = 1; run <= 2 * unlisted_statements::limit; ++run) {
        endpoint.record.startedAtMs = static_cast<std::int64_t>(run);
        kept.keep(endpoint, now);
    }
    EXPECT_EQ(kept.size(), unlisted_statements::limit);
    gateway_endpoint last;
    last.record = endpoint.record;
    kept.restore(last);
    EXPECT_TRUE(last.saysLeaving);
}

// The rule binds a gateway for the whole time that the endpoint has stated, be it true or not.
TEST_F(stated_endpoint, thatAlwaysAsksForAnHourIsAskedOnceAnHour)
{
    int asked = 0;
    for (std::chrono::seconds at {0}; at < 3h; at += 10s) {
        if (usableAt(now + at)) {
            ++asked;
            m_table.recordStatement(*m_table.all().at("a"), pauseOf(3600000ms), now + at, m_random);
        }
    }
    EXPECT_EQ(asked, 3);
}

TEST_F(stated_endpoint, thatLeavesAndPausesByTurnsIsNotAskedAgain)
{
    for (const endpoint_statement &statement : {pauseOf(1000ms), leaving, pauseOf(1000ms), nothing}) {
        state(statement);
    }
    EXPECT_FALSE(usableAt(now + 24h));
}

TEST(rank_group, servesWithItsOtherRanksWhileOnePauses)
{
    endpoint_table table("here");
    std::mt19937_64 random(1);
    for (const char *id : {"a", "b", "c"}) {
        endpoint_record record;
        record.id = id;
        record.service = "models";
        table.update(record);
    }
    table.setGroups({{"g", true, {"a", "b", "c"}, {}}}, now);
    const auto usable = [&](const char *id, time_point at) {
        return table.viewOf(*table.all().at(id), {}, at).usable;
    };
    table.recordStatement(*table.all().at("a"), pauseOf(1000ms), now, random);
    EXPECT_FALSE(usable("a", now + 500ms));
    EXPECT_TRUE(usable("b", now + 500ms));
    EXPECT_TRUE(usable("c", now + 500ms));
    EXPECT_EQ(table.earliestRoom("models", now), now);
    EXPECT_TRUE(usable("a", now + 1400ms));
    table.recordStatement(*table.all().at("b"), pauseOf(2000ms), now, random);
    table.recordStatement(*table.all().at("c"), pauseOf(3000ms), now, random);
    EXPECT_EQ(table.earliestRoom("models", now), table.all().at("a")->pausedUntil);
}

// All gateways that were told to pause at the same moment would fill the endpoint at once when the pause ends.
TEST_F(stated_endpoint, isNotFoundByAllGatewaysAtOnceAfterItsPause)
{
    constexpr int gateways = 60;
    int early = 0;
    for (int gateway = 0; gateway < gateways; ++gateway) {
        endpoint_table table("here");
        table.update(m_record);
        table.recordStatement(*table.all().at("a"), pauseOf(2000ms), now, m_random);
        early += table.viewOf(*table.all().at("a"), {}, now + 2100ms).usable ? 1 : 0;
    }
    EXPECT_LE(early, gateways / 2);
    EXPECT_GT(early, 0);
}

struct statement_path_row
{
    const char *name; ///< Failure that the row guards against.
    std::string head; ///< Of the first answer of one of the two endpoints.
    bool sameId; ///< Whether that answer bears the id of its request.
    bool obeyed;
};

// Two endpoints; the first that is asked says something about itself. Later requests have to go to the other one.
class statement_path : public testing::TestWithParam<statement_path_row>
{
};

TEST_P(statement_path, decidesWhereTheNextRequestsGo)
{
    std::atomic<int> speaker {-1};
    std::atomic<int> askedAgain {0};
    const auto answerAs = [&](int number) {
        return [&, number](const standins::scripted_request &request, standins::raw_connection &connection) {
            int none = -1;
            if (speaker.compare_exchange_strong(none, number)) {
                const std::string id = GetParam().sameId ? request.header("x-request-id") : "another";
                return connection.send(GetParam().head + "X-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
            }
            askedAgain += speaker == number ? 1 : 0;
            return connection.send(answerTo(request, "ok"));
        };
    };
    standins::scripted_server one(answerAs(0));
    standins::scripted_server other(answerAs(1));
    gateway_harness gateway;
    gateway.applyDocument(gateway_harness::defaultDocument());
    gateway.addEndpoint("e1", one.address());
    gateway.addEndpoint("e2", other.address());
    // An endpoint that has failed is avoided for 250 ms in any case.
    const auto until = boot_clock::now() + (GetParam().obeyed ? 800ms : 20000ms);
    while (askedAgain == 0 && boot_clock::now() < until) {
        gateway.request("GET", "/read/x", callerHeaders);
    }
    EXPECT_EQ(askedAgain == 0, GetParam().obeyed) << askedAgain;
}

INSTANTIATE_TEST_SUITE_P(
    rows, statement_path,
    testing::Values(
        statement_path_row {"success_of_a_leaving_endpoint_ignored",
                            "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Leaving: 1\r\n", true, true},
        statement_path_row {"refusal_of_a_leaving_endpoint_ignored",
                            "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\n", true, true},
        statement_path_row {"late_answer_of_a_leaving_endpoint_ignored",
                            "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Leaving: 1\r\n", false, true},
        statement_path_row {"misdirection_from_the_next_owner_of_the_address_taken",
                            "HTTP/1.1 421 Misdirected\r\nX-Leaving: 1\r\n", true, false},
        statement_path_row {"interim_response_taken",
                            "HTTP/1.1 103 Early Hints\r\nX-Leaving: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Signature: s\r\n",
                            true, false},
        statement_path_row {"pause_ignored", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 60\r\n", true, true},
        statement_path_row {"pause_without_a_promise_ignored", "HTTP/1.1 503 Busy\r\nRetry-After: 60\r\n", true, true},
        statement_path_row {"pause_of_an_earlier_request_taken",
                            "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 60\r\n", false, false}),
    [](const auto &row) { return std::string(row.param.name); });

// With the only endpoint in a pause, a request that cannot wait for its end is refused at once and told when to return.
TEST(paused_service, tellsCallersWhenToReturn)
{
    std::atomic<int> requests {0};
    standins::scripted_server only(
        [&](const standins::scripted_request &request, standins::raw_connection &connection) {
            ++requests;
            return connection.send("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 60\r\nX-Request-Id: "
                                   + request.header("x-request-id") + "\r\nContent-Length: 0\r\n\r\n");
        });
    gateway_harness gateway;
    routing_document document = gateway_harness::defaultDocument();
    document.routes.at(0).timeout = 600s;
    gateway.applyDocument(document);
    gateway.addEndpoint("e1", only.address());
    const std::string headers = "X-Request-Id: r1\r\nX-Timeout-Ms: 600000\r\n";
    EXPECT_EQ(gateway.request("GET", "/read/x", headers).status, 503);
    const caller_answer second = gateway.request("GET", "/read/x", headers);
    EXPECT_EQ(second.status, 503);
    EXPECT_GT(std::stod(second.header("retry-after")), 30.0);
    EXPECT_LE(std::stod(second.header("retry-after")), 61.3);
    EXPECT_EQ(requests, 1);
}

} // namespace

} // namespace bronzechute
