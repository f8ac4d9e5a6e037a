#include "balance/wait_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start {1h};

waiting_request request(std::uint64_t ticket, std::chrono::milliseconds arrived, std::chrono::milliseconds inTime)
{
    waiting_request waiting;
    waiting.ticket = ticket;
    waiting.arrivedAt = start + arrived;
    waiting.latestOnTimeStart = start + inTime;
    waiting.expiresAt = start + 5s;
    return waiting;
}

waiting_request withPriority(waiting_request waiting, int priority)
{
    waiting.priority = priority;
    return waiting;
}

waiting_request returned(waiting_request waiting)
{
    waiting.returned = true;
    return waiting;
}

waiting_request withPlace(waiting_request waiting, std::chrono::milliseconds deadline)
{
    waiting.placeDeadline = start + deadline;
    return returned(waiting);
}

struct order_case
{
    std::string name;
    std::vector<waiting_request> waiting;
    std::vector<std::uint64_t> expected;
};

class waiting_order : public testing::TestWithParam<order_case>
{
};

TEST_P(waiting_order, serves)
{
    wait_queue line;
    for (const waiting_request &waiting : GetParam().waiting) {
        line.push(waiting);
    }
    std::vector<std::uint64_t> served;
    while (const auto next = line.pop(start + 200ms)) {
        served.push_back(next->ticket);
    }
    EXPECT_EQ(served, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    rows, waiting_order,
    testing::Values(
        order_case {
            "late_request_delays_one_that_can_be_in_time", {request(1, 0ms, 100ms), request(2, 50ms, 300ms)}, {2, 1}},
        order_case {"less_urgent_request_first", {request(1, 0ms, 400ms), request(2, 0ms, 300ms)}, {2, 1}},
        order_case {"late_requests_out_of_order", {request(2, 20ms, 120ms), request(1, 10ms, 110ms)}, {1, 2}},
        order_case {"low_priority_first", {withPriority(request(1, 0ms, 250ms), 2), request(2, 0ms, 400ms)}, {2, 1}},
        order_case {"late_return_makes_others_late_too",
                    {returned(request(1, 0ms, 0ms)), request(2, 100ms, 350ms), request(3, 110ms, 360ms)},
                    {2, 3, 1}},
        order_case {"place_of_a_caller_that_came_back_taken_by_newcomers",
                    {withPlace(request(1, 0ms, 0ms), 150ms), request(2, 100ms, 350ms), request(3, 0ms, 100ms)},
                    {1, 2, 3}},
        order_case {"newcomer_late_for_one_that_can_wait",
                    {withPlace(request(1, 0ms, 0ms), 900ms), request(2, 100ms, 350ms), request(3, 0ms, 100ms)},
                    {2, 1, 3}},
        order_case {"caller_without_a_further_try_refused_again",
                    {request(1, 0ms, 150ms), returned(request(2, 100ms, 100ms))},
                    {2, 1}}),
    [](const auto &row) { return row.param.name; });

// Guards against a flooding account whose requests delay the others, in time or late.
TEST(wait_queue, servesAccountsOverTheirShareLast)
{
    wait_queue line;
    line.setAccountsOverShare({"flooding"});
    waiting_request flood = request(1, 0ms, 300ms);
    flood.account = "flooding";
    line.push(flood);
    line.push(request(2, 0ms, 400ms));
    line.push(withPriority(request(3, 0ms, 400ms), 1));
    EXPECT_EQ(line.countAhead(request(4, 0ms, 400ms), start), 1U);
    EXPECT_EQ(line.pop(start + 200ms)->ticket, 2U);
    EXPECT_EQ(line.pop(start + 200ms)->ticket, 1U) << "a less urgent kind is served before a more urgent one";
}

// Guards against turns that also serve a kind whose turn it is not.
TEST(wait_queue, servesAPriorityWhoseTurnItIs)
{
    wait_queue line;
    line.push(request(1, 0ms, 300ms));
    line.push(withPriority(request(2, 0ms, 300ms), 1));
    line.push(withPriority(request(3, 0ms, 300ms), 2));
    EXPECT_EQ(line.countAhead(withPriority(request(4, 0ms, 400ms), 2), start, {2}), 1U);
    EXPECT_EQ(line.pop(start, {2})->ticket, 3U);
    EXPECT_EQ(line.pop(start, {2})->ticket, 1U);
}

TEST(wait_queue, removesExpiredRequests)
{
    wait_queue line;
    waiting_request expiring = request(1, 0ms, 100ms);
    expiring.expiresAt = start + 150ms;
    line.push(expiring);
    line.push(request(2, 0ms, 100ms));
    EXPECT_EQ(line.nextExpiry(), start + 150ms);
    const auto expired = line.takeExpired(start + 150ms);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().ticket, 1U);
    EXPECT_EQ(line.size(), 1U);
}

TEST(wait_queue, countsRequestsAhead)
{
    wait_queue line;
    line.push(request(1, 0ms, 400ms));
    line.push(request(2, 0ms, 300ms));
    EXPECT_EQ(line.countAhead(request(3, 0ms, 350ms), start), 1U);
    EXPECT_TRUE(line.erase(2));
    EXPECT_FALSE(line.erase(2));
    EXPECT_EQ(line.countAhead(request(3, 0ms, 350ms), start), 0U);
}

} // namespace

} // namespace bronzechute
