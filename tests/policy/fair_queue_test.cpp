#include "policy/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <numeric>

namespace bronzechute {
namespace {

const time_point start {std::chrono::hours(1)};

queued_request make(std::uint64_t id, const char *account, int priority = 5, int weight = 1,
                    std::chrono::seconds timeToDeadline = std::chrono::seconds(60))
{
    return {
        .id = {0, id}, .account = account, .weight = weight, .priority = priority, .deadline = start + timeToDeadline};
}

/** @returns the ids in the order in which the requests are popped. */
std::vector<std::uint64_t> drain(fair_queue &queue, time_point now = start)
{
    std::vector<std::uint64_t> ids;
    while (const auto next = queue.pop(now).next) {
        ids.push_back(next->id.low);
    }
    return ids;
}

struct order_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(fair_queue &)> fill; ///< The queue holds at most 6.
    std::vector<std::uint64_t> expected;
};

class queue_order : public testing::TestWithParam<order_row>
{
};

TEST_P(queue_order, popsInOrder)
{
    fair_queue queue({.capacity = 6, .lowerPriorityInterval = 3});
    GetParam().fill(queue);
    EXPECT_EQ(drain(queue), GetParam().expected);
    EXPECT_EQ(queue.size(), 0U);
    EXPECT_FALSE(queue.nextDeadline());
}

INSTANTIATE_TEST_SUITE_P(rows, queue_order,
                         testing::Values(order_row {"account_order_not_kept",
                                                    [](fair_queue &q) {
                                                        q.push(make(1, "a"));
                                                        q.push(make(2, "a"));
                                                        q.push(make(3, "a"));
                                                    },
                                                    {1, 2, 3}},
                                         order_row {"small_account_waits_behind_large",
                                                    [](fair_queue &q) {
                                                        q.push(make(1, "a"));
                                                        q.push(make(2, "a"));
                                                        q.push(make(3, "a"));
                                                        q.push(make(4, "b"));
                                                    },
                                                    {1, 4, 2, 3}},
                                         order_row {"weight_ignored",
                                                    [](fair_queue &q) {
                                                        for (std::uint64_t id = 1; id <= 4; ++id) {
                                                            q.push(make(id, "a", 5, 3));
                                                        }
                                                        q.push(make(5, "b"));
                                                        q.push(make(6, "b"));
                                                    },
                                                    {1, 5, 2, 3, 4, 6}},
                                         order_row {"higher_priority_waits",
                                                    [](fair_queue &q) {
                                                        q.push(make(1, "a", 1));
                                                        q.push(make(2, "a", 9));
                                                    },
                                                    {2, 1}},
                                         order_row {"lower_priority_starves",
                                                    [](fair_queue &q) {
                                                        for (std::uint64_t id = 1; id <= 5; ++id) {
                                                            q.push(make(id, "a", 9));
                                                        }
                                                        q.push(make(6, "b", 1));
                                                    },
                                                    {1, 2, 6, 3, 4, 5}},
                                         order_row {"cancelled_runs",
                                                    [](fair_queue &q) {
                                                        q.push(make(1, "a"));
                                                        q.push(make(2, "a"));
                                                        EXPECT_TRUE(q.cancel({0, 1}));
                                                        EXPECT_FALSE(q.cancel({0, 1}));
                                                    },
                                                    {2}},
                                         order_row {"same_id_queued_twice",
                                                    [](fair_queue &q) {
                                                        q.push(make(1, "a"));
                                                        EXPECT_FALSE(q.push(make(1, "a")).queued);
                                                    },
                                                    {1}},
                                         order_row {"flood_displaces_others",
                                                    [](fair_queue &q) {
                                                        q.push(make(1, "b"));
                                                        for (std::uint64_t id = 2; id <= 6; ++id) {
                                                            q.push(make(id, "a"));
                                                        }
                                                        const auto result = q.push(make(7, "a"));
                                                        EXPECT_FALSE(result.queued);
                                                        EXPECT_FALSE(result.displaced);
                                                    },
                                                    {1, 2, 3, 4, 5, 6}},
                                         order_row {"flood_keeps_others_out",
                                                    [](fair_queue &q) {
                                                        for (std::uint64_t id = 1; id <= 6; ++id) {
                                                            q.push(make(id, "a"));
                                                        }
                                                        const auto result = q.push(make(7, "b"));
                                                        EXPECT_TRUE(result.queued);
                                                        ASSERT_TRUE(result.displaced);
                                                        EXPECT_EQ(result.displaced->id.low, 6U);
                                                    },
                                                    {1, 7, 2, 3, 4, 5}},
                                         order_row {"idle_account_saves_up_a_claim",
                                                    [](fair_queue &q) {
                                                        q.push(make(1, "b"));
                                                        drain(q);
                                                        for (std::uint64_t id = 2; id <= 6; ++id) {
                                                            q.push(make(id, "a"));
                                                        }
                                                        EXPECT_EQ(q.pop(start).next->id.low, 2U);
                                                        EXPECT_EQ(q.pop(start).next->id.low, 3U);
                                                        q.push(make(7, "b"));
                                                        q.push(make(8, "b"));
                                                    },
                                                    {7, 4, 8, 5, 6}}),
                         [](const auto &row) { return std::string(row.param.name); });

struct wait_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(fair_queue &)> fill;
    queued_request arrival;
    std::chrono::milliseconds startInterval;
    std::optional<std::chrono::milliseconds> expected; ///< How long the request may wait; empty: refused.
};

class queue_wait : public testing::TestWithParam<wait_row>
{
};

TEST_P(queue_wait, isWorthQueueing)
{
    fair_queue queue({.longestWait = std::chrono::milliseconds(1600)});
    GetParam().fill(queue);
    const auto latest = queue.latestStart(GetParam().arrival, start, GetParam().startInterval);
    ASSERT_EQ(latest.has_value(), GetParam().expected.has_value());
    if (latest) {
        EXPECT_EQ(*latest - start, *GetParam().expected);
    }
}

std::function<void(fair_queue &)> queued(int count, const char *account, int priority = 5, int weight = 1)
{
    return [=](fair_queue &queue) {
        for (int each = 0; each < count; ++each) {
            queue.push(make(100 + static_cast<std::uint64_t>(each), account, priority, weight));
        }
    };
}

constexpr std::chrono::milliseconds tenth {100};
constexpr std::chrono::milliseconds twiceLongestWait {3200}; // The longest wait is 1600 ms.
constexpr std::chrono::seconds second {1};

/** Account a always has five requests waiting and is served every 400 ms, as requests of three others keep arriving. */
void popAmongArrivals(fair_queue &queue)
{
    queued(5, "a")(queue);
    for (int step = 0; step < 80; ++step) {
        const std::string account(1, static_cast<char>('a' + step % 4));
        queue.push(make(1000 + static_cast<std::uint64_t>(step), account.c_str()));
        queue.pop(start + std::chrono::milliseconds(100) * (step - 80));
    }
}

/** Four out of five popped requests have a higher priority; six accounts have requests of a lower one waiting. */
void popHigherAmongLower(fair_queue &queue)
{
    const auto pushLower = [&queue](int id) {
        const std::string account(1, static_cast<char>('b' + id % 6));
        queue.push(make(static_cast<std::uint64_t>(id), account.c_str()));
    };
    for (int id = 6; id < 12; ++id) {
        pushLower(id);
    }
    for (int step = 0; step < 100; ++step) {
        if (step % 5 == 0) {
            pushLower(12 + step / 5);
        } else {
            queue.push(make(1000 + static_cast<std::uint64_t>(step), "z", 9));
        }
        queue.pop(start + std::chrono::milliseconds(100) * (step - 100));
    }
}

/** Pops a request every 2 s; then the remaining requests expire, so that no further pop updates the interval. */
void expireAfterSlowPops(fair_queue &queue)
{
    for (std::uint64_t id = 100; id < 120; ++id) {
        queue.push(make(id, "a", 5, 1, -second));
    }
    for (int step = 0; step < 15; ++step) {
        queue.pop(start + 2 * second * (step - 20));
    }
    queue.takeExpired(start);
}

void queueBesideSmallerWeight(fair_queue &queue)
{
    queued(8, "a", 5, 4)(queue);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        queue.push(make(id, "b"));
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, queue_wait,
    testing::Values(
        wait_row {"queues_to_be_late", queued(16, "a"), make(1, "a"), tenth, std::nullopt},
        wait_row {"refused_within_the_longest_wait", queued(15, "a"), make(1, "a"), tenth, twiceLongestWait},
        wait_row {"small_account_refused_for_a_flood", queued(30, "a"), make(1, "b"), tenth, twiceLongestWait},
        wait_row {"queues_past_its_deadline", queued(15, "a"), make(1, "a", 5, 1, second), tenth, std::nullopt},
        wait_row {"waits_past_its_deadline", queued(5, "a"), make(1, "a", 5, 1, 2 * second), tenth, 2 * second},
        wait_row {"refused_at_unknown_pace", queued(30, "a"), make(1, "a"), {}, 60 * second},
        wait_row {"higher_priority_refused_for_lower", queued(30, "a", 1), make(1, "a", 9), tenth, twiceLongestWait},
        wait_row {"reserved_share_of_lower_priority_ignored", queued(30, "b", 9), make(1, "a", 1), tenth,
                  twiceLongestWait},
        wait_row {"larger_weight_ignored", queueBesideSmallerWeight, make(50, "a", 5, 4), tenth, twiceLongestWait},
        wait_row {"refused_at_the_pace_of_expired_requests", expireAfterSlowPops, make(1, "a"), tenth,
                  twiceLongestWait},
        wait_row {"later_requests_of_others_ignored", popAmongArrivals, make(1, "a"), tenth, std::nullopt},
        wait_row {"later_requests_of_higher_priority_ignored", popHigherAmongLower, make(1, "a"), tenth, std::nullopt},
        wait_row {"pace_of_lower_priority_taken_for_higher", popAmongArrivals, make(1, "a", 9), tenth,
                  twiceLongestWait}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against running an expired request, and against never reporting it as expired.
TEST(queue_deadline, expiredComeOutAndDoNotRun)
{
    fair_queue queue;
    queue.push(make(1, "a", 5, 1, std::chrono::seconds(1)));
    queue.push(make(2, "a", 5, 1, std::chrono::seconds(3)));
    EXPECT_EQ(queue.nextDeadline(), start + std::chrono::seconds(1));
    const auto result = queue.pop(start + std::chrono::seconds(1));
    ASSERT_EQ(result.expired.size(), 1U);
    EXPECT_EQ(result.expired[0].id.low, 1U);
    ASSERT_TRUE(result.next);
    EXPECT_EQ(result.next->id.low, 2U);
}

// Guards against accounts with a permanent backlog that are served less than their weight.
RC_GTEST_PROP(queue_property, backloggedAccountsGetTheirWeight, ())
{
    const auto weights = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(2, 6), rc::gen::inRange(1, 6));
    const int total = std::accumulate(weights.begin(), weights.end(), 0);
    fair_queue queue({.capacity = 1000});
    std::uint64_t id = 0;
    const auto refill = [&](std::size_t account) {
        const std::string name = "account-" + std::to_string(account);
        queue.push({{0, ++id}, name, weights[account], 5, start + std::chrono::seconds(60)});
    };
    for (std::size_t account = 0; account < weights.size(); ++account) {
        refill(account);
        refill(account);
    }
    std::vector<int> served(weights.size());
    const int rounds = 20;
    for (int pop = 0; pop < rounds * total; ++pop) {
        const std::size_t account = std::stoul(queue.pop(start).next->account.substr(8));
        ++served[account];
        refill(account);
    }
    for (std::size_t account = 0; account < weights.size(); ++account) {
        RC_ASSERT(std::abs(served[account] - rounds * weights[account]) <= 2);
    }
}

// Guards against requests that are lost or returned twice, for any order of events.
RC_GTEST_PROP(queue_property, everyRequestComesOutOnce, ())
{
    fair_queue queue({.capacity = 8, .lowerPriorityInterval = 3});
    const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100000));
    std::set<std::uint64_t> queuedIds;
    const auto leave = [&](const queued_request &request) {
        RC_ASSERT(queuedIds.erase(request.id.low) == 1U);
    };
    time_point now = start;
    std::uint64_t id = 0;
    for (const int event : events) {
        now += std::chrono::milliseconds(event % 300);
        if (event % 5 < 3) {
            const std::string account(1, static_cast<char>('a' + event % 4));
            const auto pushed = queue.push(
                {{0, ++id}, account, 1 + event % 3, event % 10, now + std::chrono::milliseconds(event % 2000)});
            if (pushed.displaced) {
                leave(*pushed.displaced);
            }
            if (pushed.queued) {
                queuedIds.insert(id);
            }
        } else if (event % 5 == 3) {
            const auto popped = queue.pop(now);
            std::for_each(popped.expired.begin(), popped.expired.end(), leave);
            if (popped.next) {
                RC_ASSERT(popped.next->deadline > now);
                leave(*popped.next);
            }
        } else if (const auto cancelled = queue.cancel({0, id})) {
            leave(*cancelled);
        }
        RC_ASSERT(queue.size() == queuedIds.size());
        RC_ASSERT(queue.size() <= 8U);
    }
}

} // namespace
} // namespace bronzechute
