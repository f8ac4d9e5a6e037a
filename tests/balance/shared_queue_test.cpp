#include "balance/shared_queue.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

const time_point start {1h};

/** A queue at a gateway that starts a request every 20 ms, with the loads that the rows describe. */
class loaded_queue
{
public:
    shared_queue queue;

    waiting_request make(int priority, boot_clock::duration inTime, boot_clock::duration patience)
    {
        waiting_request request;
        request.ticket = ++m_tickets;
        request.priority = priority;
        request.account = "account";
        request.arrivedAt = m_now;
        request.latestOnTimeStart = m_now + inTime;
        request.expiresAt = m_now + patience;
        return request;
    }

    waiting_request comeBack(int priority = 0)
    {
        waiting_request request = make(priority, 0ms, 1600ms);
        request.returned = true;
        request.cameBack = true;
        request.latestOnTimeStart = time_point::min();
        return request;
    }

    /** Queues requests that can be in time. */
    void fill(int priority, int count)
    {
        for (; count > 0; --count) {
            queue.push(make(priority, 200ms, 900ms));
        }
    }

    /** First attempts arrive at this interval, and requests of priority 0 are started. */
    void run(int priority, boot_clock::duration interval, boot_clock::duration length = 1s)
    {
        const time_point begin = m_now;
        for (time_point at = begin; at < begin + length; at += 5ms) {
            m_now = at;
            if ((at - begin) % interval < 5ms) {
                waiting_request request = make(priority, 200ms, 900ms);
                queue.recordArrival(request, at);
            }
            if ((at - begin) % 20ms < 5ms) {
                queue.recordStart(make(0, 200ms, 900ms), at);
                queue.recordCompletion(at);
            }
        }
        m_now = begin + length;
    }

    bool admits(waiting_request request)
    {
        queue.recordArrival(request, m_now);
        return queue.admit(request, true, 10, m_now).admitted;
    }

    time_point now() const
    {
        return m_now;
    }

    void advance(boot_clock::duration time)
    {
        m_now += time;
    }

private:
    time_point m_now = start;
    std::uint64_t m_tickets = 0;
};

struct admission_row
{
    std::string name;
    std::function<bool(loaded_queue &)> admits;
    bool expected;
};

class shared_admission : public testing::TestWithParam<admission_row>
{
};

TEST_P(shared_admission, decides)
{
    loaded_queue load;
    EXPECT_EQ(GetParam().admits(load), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(rows, shared_admission,
                         testing::Values(admission_row {"late_urgent_request_refused_for_less_urgent_first_attempts",
                                                        [](loaded_queue &load) {
                                                            load.run(1, 20ms);
                                                            load.fill(0, 20);
                                                            return load.admits(load.make(0, -1ms, 900ms));
                                                        },
                                                        true},
                                         admission_row {"late_urgent_request_admitted_behind_as_urgent_first_attempts",
                                                        [](loaded_queue &load) {
                                                            load.run(0, 15ms);
                                                            load.fill(0, 20);
                                                            return load.admits(load.make(0, -1ms, 900ms));
                                                        },
                                                        false},
                                         admission_row {"caller_that_came_back_refused_for_newcomers",
                                                        [](loaded_queue &load) {
                                                            load.admits(load.comeBack());
                                                            load.run(0, 15ms, 2700ms);
                                                            load.fill(0, 40);
                                                            return load.admits(load.comeBack());
                                                        },
                                                        true},
                                         admission_row {"more_places_given_than_can_be_kept",
                                                        [](loaded_queue &load) {
                                                            load.run(0, 15ms);
                                                            load.fill(0, 40);
                                                            for (int count = 0; count < 10; ++count) {
                                                                waiting_request before = load.comeBack();
                                                                load.queue.recordArrival(before, load.now());
                                                                load.queue.push(before);
                                                            }
                                                            return load.admits(load.comeBack());
                                                        },
                                                        false},
                                         admission_row {"least_urgent_kind_refused_for_ever",
                                                        [](loaded_queue &load) {
                                                            waiting_request refused = load.make(2, 200ms, 900ms);
                                                            load.queue.recordArrival(refused, load.now());
                                                            load.run(0, 15ms);
                                                            load.fill(0, 60);
                                                            return load.admits(load.make(2, 200ms, 900ms));
                                                        },
                                                        true},
                                         admission_row {"less_urgent_requests_take_the_room_of_urgent_ones",
                                                        [](loaded_queue &load) {
                                                            load.run(0, 15ms);
                                                            load.fill(0, 60);
                                                            load.fill(2, 8);
                                                            return load.admits(load.make(2, 200ms, 900ms));
                                                        },
                                                        false}),
                         [](const auto &row) { return row.param.name; });

// Guards against callers that came back and wait behind newcomers until they expire.
TEST(shared_queue, keepsThePlaceOfACallerThatCameBack)
{
    loaded_queue load;
    waiting_request back = load.comeBack();
    load.queue.recordArrival(back, load.now());
    load.queue.push(back);
    for (; load.now() < back.expiresAt; load.advance(20ms)) {
        load.fill(0, 2);
        const auto next = load.queue.pop(load.now());
        ASSERT_TRUE(next);
        if (next->ticket == back.ticket) {
            EXPECT_GT(load.now(), start + 200ms) << "those that can be in time go first as long as it can wait";
            return;
        }
    }
    FAIL() << "it expired";
}

// Guards against a kind that is never started while more urgent ones wait.
TEST(shared_queue, givesTurnsToLessUrgentRequests)
{
    loaded_queue load;
    waiting_request urgent = load.make(0, 200ms, 900ms);
    load.queue.recordArrival(urgent, load.now());
    waiting_request late = load.make(2, 200ms, 10s);
    load.queue.recordArrival(late, load.now());
    load.queue.push(late);
    for (int started = 0; started < 20; ++started, load.advance(20ms)) {
        load.fill(0, 2);
        for (int check = 0; check < 3; ++check) { // Checks that find no free slot use up no turn.
            load.queue.push(*load.queue.pop(load.now()));
        }
        const auto next = load.queue.pop(load.now());
        ASSERT_TRUE(next);
        load.queue.recordStart(*next, load.now());
        if (next->priority == 2) {
            EXPECT_GE(started, 10) << "more than a small share";
            EXPECT_EQ(load.queue.counts().turns, 1U);
            return;
        }
    }
    FAIL() << "it starves";
}

struct summary_row
{
    std::string name;
    queue_summary others;
    std::chrono::milliseconds lowest; ///< Of the delay of a caller that is refused.
    std::chrono::milliseconds highest;
};

class told_delay : public testing::TestWithParam<summary_row>
{
};

// Starts here: 50 a second, half of them are not taken by first attempts.
TEST_P(told_delay, countsWhatAllGatewaysHavePromised)
{
    loaded_queue load;
    load.run(0, 40ms);
    load.queue.setOthers(GetParam().others, 2);
    std::mt19937_64 random(5);
    const auto delay = load.queue.promiseReturn({refusal_cause::overloaded, 300ms, 2600ms}, load.now(), random);
    EXPECT_GE(delay, GetParam().lowest);
    EXPECT_LE(delay, GetParam().highest);
}

queue_summary withReturns(int first, int second, int third)
{
    queue_summary summary;
    summary.promisedReturns = first;
    summary.laterReturns = {second, third};
    return summary;
}

INSTANTIATE_TEST_SUITE_P(
    rows, told_delay,
    testing::Values(summary_row {"told_to_stay_away_though_there_is_room", {}, 300ms, 500ms},
                    summary_row {"told_to_come_with_those_of_other_gateways", withReturns(70, 0, 0), 1000ms, 2600ms},
                    summary_row {"told_to_come_when_most_others_do", withReturns(200, 200, 90), 2000ms, 2600ms}),
    [](const auto &row) { return row.param.name; });

// Guards against many callers that are told the same moment.
TEST(shared_queue, spreadsTheReturns)
{
    loaded_queue load;
    load.run(0, 15ms);
    std::mt19937_64 random(5);
    std::map<std::int64_t, int> told;
    for (int count = 0; count < 60; ++count) {
        ++told[load.queue.promiseReturn({refusal_cause::overloaded, 300ms, 2600ms}, load.now(), random) / 250ms];
    }
    for (const auto &[interval, count] : told) {
        EXPECT_LE(count, 20) << interval;
    }
    EXPECT_EQ(load.queue.summary(load.now()).promisedReturns + load.queue.summary(load.now()).laterReturns[0]
                  + load.queue.summary(load.now()).laterReturns[1],
              60);
}

// Guards against callers that are counted although they do not come again.
TEST(shared_queue, expectsNoThirdAttempt)
{
    loaded_queue load;
    std::mt19937_64 random(5);
    load.queue.promiseReturn({refusal_cause::overloaded, 300ms, 2600ms, true}, load.now(), random);
    EXPECT_EQ(load.queue.summary(load.now()), queue_summary {});
}

// Guards against an account that delays all others by sending more.
TEST(shared_queue, letsAFloodingAccountPay)
{
    loaded_queue load;
    for (int count = 0; count < 100; ++count, load.advance(10ms)) {
        waiting_request flood = load.make(0, 200ms, 900ms);
        flood.account = "flooding";
        load.queue.recordArrival(flood, load.now());
        if (count % 4 > 0) {
            load.queue.recordStart(flood, load.now());
        } else {
            load.queue.recordRefusal(flood, true, load.now());
        }
        if (count % 20 == 0) {
            load.queue.recordStart(load.make(0, 200ms, 900ms), load.now());
            load.queue.recordRefusal(load.make(0, 200ms, 900ms), true, load.now());
        }
    }
    for (int count = 0; count < 30; ++count) {
        waiting_request flood = load.make(0, 200ms, 900ms);
        flood.account = "flooding";
        load.queue.push(flood);
    }
    waiting_request quiet = load.make(0, 300ms, 900ms);
    load.queue.recordArrival(quiet, load.now());
    EXPECT_EQ(load.queue.accountsOverShare(), std::set<std::string> {"flooding"});
    EXPECT_EQ(load.queue.countAhead(quiet, load.now()), 0U);
    EXPECT_LT(load.queue.fairness(load.now()), 1);
    EXPECT_EQ(load.queue.summary(load.now()).refusedByAccount.size(), 2U);
}

// Guards against an order that changes while there is room for all.
TEST(shared_queue, ordersNoAccountsInCalm)
{
    loaded_queue load;
    load.run(0, 20ms);
    waiting_request next = load.make(0, 200ms, 900ms);
    next.account = "other";
    load.queue.recordArrival(next, load.now());
    EXPECT_TRUE(load.queue.accountsOverShare().empty());
    EXPECT_TRUE(load.queue.summary(load.now()).tokensByAccount.empty()) << "a longer report in calm";
}

// Guards against starts out of order over the gateways that nobody sees.
TEST(shared_queue, countsInversions)
{
    loaded_queue load;
    queue_summary others;
    others.waiting = 3;
    others.longestWaitMs = 400;
    load.queue.setOthers(others, 2);
    const waiting_request request = load.make(0, 200ms, 900ms);
    load.queue.recordStart(request, load.now() + 500ms);
    EXPECT_EQ(load.queue.counts().inversions, 0U);
    load.queue.recordStart(request, load.now() + 100ms);
    EXPECT_EQ(load.queue.counts().inversions, 1U);
}

} // namespace

} // namespace bronzechute
