#include "simulated_watch.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

// The shortest time in which the platform's rules want an operator's intention to be in force.
constexpr std::chrono::milliseconds intentionBound {2000};

/** Gateways that watch one store. */
struct relayed_fleet
{
    relayed_fleet(int gatewayCount, int dataCentres, bool relays = true) : fleet(gatewayCount, dataCentres)
    {
        watches.resize(fleet.gateways.size());
        fleet.beforeTick = [this, relays](simulated_gateway &gateway) {
            const auto index = static_cast<std::size_t>(
                std::ranges::find(fleet.gateways, &gateway, &std::unique_ptr<simulated_gateway>::get)
                - fleet.gateways.begin());
            watches[index].step(gateway, store, fleet.now(), relays && !previousVersion.contains(gateway.host));
        };
    }

    /** Runs with a change of the store in each interval while it is up. */
    void run(boot_clock::duration duration, std::chrono::milliseconds interval = 310ms)
    {
        for (const time_point end = fleet.now() + duration; fleet.now() < end;) {
            fleet.run(interval);
            if (!store.isDown) {
                store.changedAt.push_back(fleet.now());
            }
        }
    }

    /** @returns the longest time that a running gateway took to learn of a change after @p first. */
    std::chrono::milliseconds longestDelay(std::size_t first, const std::string &except = {}) const
    {
        boot_clock::duration longest {};
        for (std::size_t index = 0; index < watches.size(); ++index) {
            if (!fleet.gateways[index]->isRunning || fleet.gateways[index]->host == except) {
                continue;
            }
            const auto &learned = watches[index].learnedAt;
            for (std::size_t change = first; change < store.changedAt.size(); ++change) {
                const time_point at = change + 1 < learned.size() ? learned[change + 1] : fleet.now();
                longest = std::max(longest, at - store.changedAt[change]);
            }
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(longest);
    }

    simulated_store store;
    std::set<std::string> previousVersion; ///< Hosts of processes that do not know the message.
    std::vector<simulated_watch> watches;
    simulated_fleet fleet;
};

// Calls to the store that grow with the number of gateways; intentions that are in force later than by own watches.
TEST(store_relay, needsAFifthOfTheCallsAndNoMoreTimeAtSixtyGateways)
{
    std::vector<int> calls;
    std::vector<std::chrono::milliseconds> delays;
    for (const bool relays : {false, true}) {
        relayed_fleet relayed(60, 3, relays);
        relayed.run(15s);
        const std::size_t first = relayed.store.changedAt.size();
        relayed.run(40s);
        calls.push_back(relayed.store.calls);
        relayed.fleet.run(1s);
        delays.push_back(relayed.longestDelay(first));
    }
    std::printf(
        "[ measured ] 60 gateways, 55 s: %d calls by own watches, %d with relays; longest delay %lld and %lld ms\n",
        calls[0], calls[1], static_cast<long long>(delays[0].count()), static_cast<long long>(delays[1].count()));
    EXPECT_LE(calls[1] * 5, calls[0]);
    EXPECT_LE(delays[1], delays[0] + 40ms); // Two ticks of the exchange.
}

// A small deployment is served as before.
TEST(store_relay, isNotUsedByAFewGateways)
{
    relayed_fleet relayed(6, 2);
    relayed.run(5s);
    for (std::size_t index = 0; index < relayed.watches.size(); ++index) {
        EXPECT_EQ(relayed.fleet.gateways[index]->storeMessages, 0U);
        EXPECT_FALSE(relayed.watches[index].relay().counts().isFollowing);
    }
}

struct relay_fault
{
    const char *name; ///< Failure that the row guards against.
    std::function<void(relayed_fleet &, simulated_gateway &hub)> begin;
    std::function<void(relayed_fleet &, simulated_gateway &hub)> end;
    bool hitsHub = true; ///< Whether the hub itself need not learn of changes in time.
    int dataCentres = 3;
};

class relay_faults : public testing::TestWithParam<relay_fault>
{
};

// While the gateway that watches fails, the others learn of all changes in time, once and in order; afterwards they
// rely on a watcher again.
TEST_P(relay_faults, keepNoChangeFromTheOthers)
{
    relayed_fleet relayed(24, GetParam().dataCentres);
    relayed.run(5s);
    simulated_gateway *hub = relayed.fleet.hubOf("dc-0");
    ASSERT_NE(hub, nullptr);
    const std::size_t first = relayed.store.changedAt.size();
    GetParam().begin(relayed, *hub);
    relayed.run(5s);
    GetParam().end(relayed, *hub);
    relayed.run(7s);
    const int calls = relayed.store.calls;
    relayed.run(5s);
    EXPECT_LE(relayed.store.calls - calls, 3 * 5 * 4 + 24) << "more than three watchers that read four times a second";
    relayed.fleet.run(1s);
    EXPECT_LT(relayed.longestDelay(first, GetParam().hitsHub ? hub->host : ""), intentionBound);
    for (std::size_t index = 0; index < relayed.watches.size(); ++index) {
        const simulated_gateway &gateway = *relayed.fleet.gateways[index];
        EXPECT_EQ(relayed.watches[index].wrong, 0) << gateway.host;
        if (relayed.previousVersion.contains(gateway.host)) {
            EXPECT_EQ(gateway.storeMessages, 0U);
        }
    }
}

void nothing(relayed_fleet &, simulated_gateway &)
{
}

INSTANTIATE_TEST_SUITE_P(
    rows, relay_faults,
    testing::Values(
        relay_fault {"watcher_is_killed", [](auto &, auto &hub) { hub.isRunning = false; }, nothing},
        relay_fault {"watcher_is_killed_and_comes_back", [](auto &, auto &hub) { hub.isRunning = false; },
                     [](auto &relayed, auto &hub) {
                         relayed.fleet.restart(hub);
                     }},
        relay_fault {"watcher_is_frozen_and_wakes_with_old_knowledge",
                     [](auto &relayed, auto &hub) { hub.frozenUntil = relayed.fleet.now() + 4s; }, nothing},
        relay_fault {"watcher_is_not_heard", [](auto &relayed, auto &hub) { relayed.fleet.mute.insert(hub.host); },
                     [](auto &relayed, auto &) { relayed.fleet.mute.clear(); }, false},
        relay_fault {"watcher_does_not_hear", [](auto &relayed, auto &hub) { relayed.fleet.deaf.insert(hub.host); },
                     [](auto &relayed, auto &) { relayed.fleet.deaf.clear(); }, false},
        relay_fault {"watcher_is_refused_by_the_store",
                     [](auto &relayed, auto &hub) { relayed.store.refused.insert(hub.host); },
                     [](auto &relayed, auto &) {
                         relayed.store.refused.clear();
                     }},
        relay_fault {"watcher_gets_no_answer", [](auto &relayed, auto &hub) { relayed.store.silent.insert(hub.host); },
                     [](auto &relayed, auto &) {
                         relayed.store.silent.clear();
                     }},
        relay_fault {"only_watcher_gets_no_answer",
                     [](auto &relayed, auto &hub) { relayed.store.silent.insert(hub.host); },
                     [](auto &relayed, auto &) { relayed.store.silent.clear(); }, true, 1},
        relay_fault {"store_is_slow", [](auto &relayed, auto &) { relayed.store.delay = 800ms; },
                     [](auto &relayed, auto &) { relayed.store.delay = 0ms; }, false},
        relay_fault {"store_is_down", [](auto &relayed, auto &) { relayed.store.isDown = true; },
                     [](auto &relayed, auto &) { relayed.store.isDown = false; }, false},
        relay_fault {"datagrams_are_lost_doubled_and_overtaken",
                     [](auto &relayed, auto &) {
                         relayed.fleet.loss = 0.1;
                         relayed.fleet.doubled = 0.2;
                         relayed.fleet.jitter = 60ms;
                     },
                     [](auto &relayed, auto &) {
                         relayed.fleet.loss = 0;
                         relayed.fleet.doubled = 0;
                         relayed.fleet.jitter = 0ms;
                     },
                     false},
        relay_fault {"documents_are_too_large_for_a_message",
                     [](auto &relayed, auto &) {
                         for (std::int64_t more = 2; more < 15; more += 3) {
                             relayed.store.large.insert(static_cast<std::int64_t>(relayed.store.changedAt.size())
                                                        + more);
                         }
                     },
                     nothing, false},
        relay_fault {"version_does_not_know_the_message",
                     [](auto &relayed, auto &) {
                         // As the last one, it does not become the hub.
                         simulated_gateway &gateway = *relayed.fleet.gateways.back();
                         relayed.previousVersion.insert(gateway.host);
                         relayed.fleet.restart(gateway);
                         relayed.run(500ms); // Until its first report, it passes for the one before.
                         gateway.storeMessages = 0;
                     },
                     nothing, false}),
    [](const auto &row) { return std::string(row.param.name); });

store_message messageOf(std::uint64_t sequence, store_changes changes)
{
    return {1, sequence, true, true, 0, changes.revision, changes};
}

store_event written(std::int64_t revision)
{
    return {false, {"key", "value", revision}};
}

/** A follower at revision 3 that has just heard of a watcher. */
class follower : public testing::Test
{
protected:
    follower()
    {
        relay.hear("10.0.0.1", messageOf(1, {3, 3, {}}), now);
        EXPECT_TRUE(relay.next(3, false, now));
    }

    time_point now {1h};
    relay_follower relay {1};
};

// Changes that overtake others must wait for them, and those that are known already must not come again.
TEST_F(follower, putsChangesInOrder)
{
    relay.hear("10.0.0.1", messageOf(3, {4, 5, {written(5)}}), now);
    EXPECT_EQ(relay.next(3, false, now), (store_changes {3, 3, {}}));
    relay.hear("10.0.0.1", messageOf(2, {2, 4, {written(3), written(4)}}), now);
    EXPECT_EQ(relay.next(3, false, now), (store_changes {3, 4, {written(4)}}));
    EXPECT_EQ(relay.next(4, false, now), (store_changes {4, 5, {written(5)}}));
}

// A lost message is made up for by one request, soon.
TEST_F(follower, readsWhatIsMissing)
{
    relay.hear("10.0.0.1", messageOf(2, {4, 5, {written(5)}}), now);
    EXPECT_TRUE(relay.next(3, false, now));
    EXPECT_EQ(relay.next(3, false, now + 101ms), std::nullopt);
    EXPECT_TRUE(relay.next(5, false, now + 110ms));
}

// A watcher whose view of the store stands still.
TEST_F(follower, doesNotRelyOnAWatcherThatLagsBehind)
{
    for (int step = 0; step < 20; ++step) {
        relay.hear("10.0.0.1", messageOf(2 + static_cast<std::uint64_t>(step), {3, 3, {}}), now + step * 100ms);
        relay.next(4, false, now + step * 100ms);
    }
    EXPECT_EQ(relay.next(4, false, now + 1950ms), std::nullopt);
}

// After a freeze, messages that waited in the socket must not pass for new ones.
TEST_F(follower, doesNotRelyOnWhatWaitedWhileItWasFrozen)
{
    relay.hear("10.0.0.1", messageOf(2, {3, 3, {}}), now + 4s);
    EXPECT_TRUE(relay.next(3, false, now + 4s)); // The requests of all gateways are spread.
    EXPECT_EQ(relay.next(3, false, now + 4251ms), std::nullopt);
}

// Parts of one transaction that arrive apart, and documents that would not fit into a datagram.
TEST(relay_announcer, splitsChangesAtRevisions)
{
    relay_announcer announcer(1);
    const std::string large(relay_announcer::maxChangeBytes / 2, 'v');
    const std::vector<store_event> events {{false, {"a", large, 4}},
                                           {false, {"b", large.substr(20), 5}},
                                           {true, {"c", {}, 5}},
                                           {false, {"d", large + large, 6}}};
    const time_point now {1h};
    announcer.onRead({3, 6, events}, now, true, true);
    const auto messages = announcer.takeDue(now);
    ASSERT_EQ(messages.size(), 2U);
    EXPECT_EQ(messages[0].changes, (store_changes {3, 4, {events[0]}}));
    EXPECT_EQ(messages[1].changes, (store_changes {4, 5, {events[1], events[2]}}));
    EXPECT_EQ(messages[1].revision, 6);
    EXPECT_TRUE(announcer.takeDue(now).empty());
}

// Values are bytes of any writer; datagrams come from any sender.
TEST(store_message, isReadAsItWasWritten)
{
    const store_message message =
        messageOf(7, {3, 5, {{false, {"k", std::string("\0\xff\xc1", 3), 4}}, {true, {"l", {}, 5}}}});
    const std::string whole = encodeStoreMessage(message);
    ASSERT_TRUE(decodeHubMessage(whole, {}));
    EXPECT_EQ(std::get<store_message>(*decodeHubMessage(whole, {})), message);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_EQ(decodeHubMessage(whole.substr(0, size), {}), std::nullopt) << size;
    }
}

} // namespace

} // namespace bronzechute
