#include "kv_platform_store.h"

#include "base/boot_clock.h"
#include "standins/scripted_server.h"
#include "store/watch_relay.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace bronzechute::platform {

namespace {

using namespace std::chrono_literals;

std::string answer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Collects the events of a watch. Thread-safe. */
class event_log
{
public:
    void add(const store_event &event)
    {
        const std::scoped_lock lock(m_mutex);
        m_events.push_back(event);
        m_changed.notify_all();
    }

    /** @returns the events as soon as there are `count`, or those received within 20 s. */
    std::vector<store_event> waitFor(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, 20s, [&] { return m_events.size() >= count; });
        return m_events;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<store_event> m_events;
};

struct write_case
{
    std::string name;
    int status;
    std::string body;
    errc expected;
};

class write_outcomes : public testing::TestWithParam<write_case>
{
};

TEST_P(write_outcomes, areDistinguished)
{
    standins::scripted_server server([](const standins::scripted_request &, standins::raw_connection &connection) {
        if (GetParam().status == 0) {
            connection.resetOnClose();
            return false;
        }
        return connection.send(answer(GetParam().status, GetParam().body));
    });
    kv_platform_store store("http://" + server.address(), 500ms);
    const auto written = store.compareAndSwap("key", 0, "value");
    ASSERT_FALSE(written);
    EXPECT_EQ(written.error().code, GetParam().expected) << written.error().toString();
    EXPECT_EQ(server.requests(), 1) << "a write was sent twice";
}

INSTANTIATE_TEST_SUITE_P(
    rows, write_outcomes,
    testing::Values(write_case {"conflict_reported_as_failure", 412, R"({"items":[]})", errc::conflict},
                    write_case {"expired_lease_reported_as_conflict", 404, "{}", errc::not_found},
                    write_case {"unavailable_store_reported_as_unknown_outcome", 503, "{}", errc::unavailable},
                    write_case {"rate_limited_store_reported_as_unknown_outcome", 429, "{}", errc::unavailable},
                    write_case {"lost_answer_reported_as_not_written", 0, "", errc::outcome_unknown},
                    write_case {"malformed_answer_reported_as_written", 200, "{", errc::protocol_violation}),
    [](const auto &row) { return row.param.name; });

TEST(kv_store, sendsTheConditionOfAWrite)
{
    std::string body;
    standins::scripted_server server(
        [&](const standins::scripted_request &request, standins::raw_connection &connection) {
            body = request.body;
            return connection.send(answer(200, R"({"revision":12})"));
        });
    kv_platform_store store("http://" + server.address(), 500ms);
    const auto written = store.compareAndSwap("key", 3, "value", 9);
    ASSERT_TRUE(written);
    EXPECT_EQ(written.value(), 12);
    EXPECT_EQ(
        nlohmann::json::parse(body),
        nlohmann::json::parse(
            R"({"precondition":[{"key":"key","revision":3}],"puts":[{"key":"key","value":"dmFsdWU=","lease":9}],"remove":[]})"));
}

TEST(kv_store, listsAllPages)
{
    standins::scripted_server server([](const standins::scripted_request &request,
                                        standins::raw_connection &connection) {
        const bool second = request.target.find("after=p/a") != std::string::npos;
        return connection.send(answer(
            200,
            second ? R"({"items":[{"key":"p/b","value":"Yg==","revision":4}],"has_more":false,"at":9})"
                   : R"({"items":[{"key":"p/a","value":"YQ==","revision":3},{"value":1}],"has_more":true,"at":8})"));
    });
    kv_platform_store store("http://" + server.address(), 500ms);
    const auto entries = store.list("p/");
    ASSERT_TRUE(entries);
    ASSERT_EQ(entries.value().size(), 2U);
    EXPECT_EQ(entries.value()[0].value, "a");
    EXPECT_EQ(entries.value()[1].key, "p/b");
}

const std::string noChanges = answer(200, R"({"events":[],"at":9})");

/**
 * Watches a store that answers listing and watch requests with the given answers in turn; the last one is repeated, and
 * an empty one resets the connection.
 * @returns the events of the watch, as soon as there are `count`
 */
std::vector<store_event> watchEvents(const std::vector<std::string> &listings, const std::vector<std::string> &watches,
                                     std::size_t count)
{
    std::size_t listing = 0;
    std::size_t watch = 0;
    standins::scripted_server server(
        [&](const standins::scripted_request &request, standins::raw_connection &connection) {
            const bool lists = request.target.starts_with("/v1/kv-range");
            const auto &script = lists ? listings : watches;
            std::size_t &position = lists ? listing : watch;
            const std::string reply = script[std::min(position, script.size() - 1)];
            ++position;
            if (reply.empty()) {
                connection.resetOnClose();
                return false;
            }
            const bool waits = !lists && (position >= script.size() || reply == noChanges);
            if (waits) {
                std::this_thread::sleep_for(50ms);
            }
            return connection.send(reply);
        });
    kv_platform_store store("http://" + server.address(), 500ms);
    event_log log;
    const auto running = store.watch("p/", [&](const store_event &event) { log.add(event); });
    return log.waitFor(count);
}

TEST(kv_watch, reportsListingAndChanges)
{
    const auto events =
        watchEvents({answer(200, R"({"items":[{"key":"p/a","value":"YQ==","revision":3}],"at":8})")},
                    {answer(200, R"({"events":[{"key":"p/a","revision":9,"removed":true}],"at":9})"), noChanges}, 2);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_FALSE(events[0].deleted);
    EXPECT_TRUE(events[1].deleted);
}

TEST(kv_watch, listsAgainAfterTheHistoryWasDropped)
{
    const auto events = watchEvents({answer(200, R"({"items":[{"key":"p/a","value":"YQ==","revision":3}],"at":8})"),
                                     answer(200, R"({"items":[{"key":"p/b","value":"Yg==","revision":12}],"at":20})")},
                                    {answer(410, "{}"), noChanges}, 3);
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[1].entry.key, "p/b");
    EXPECT_EQ(events[2].entry.key, "p/a");
    EXPECT_TRUE(events[2].deleted) << "a key that was deleted in the meantime was not reported as deleted";
}

const std::string listingOfA = answer(200, R"({"items":[{"key":"p/a","value":"YQ==","revision":3}],"at":8})");
const std::string deletionOfA = answer(200, R"({"events":[{"key":"p/a","revision":9,"removed":true}],"at":9})");

TEST(kv_watch, reportsADeletionOnlyTwoSecondsAfterAnOutage)
{
    const time_point begin = boot_clock::now();
    const auto events = watchEvents({listingOfA}, {"", "", "", deletionOfA, noChanges}, 2);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_TRUE(events[1].deleted);
    EXPECT_GT(boot_clock::now() - begin, 2s) << "the key's owner had no time to write it again";
}

TEST(kv_watch, reportsNoDeletionOfAKeyThatIsWrittenAgainAfterAnOutage)
{
    const std::string returned = answer(200, R"({"events":[{"key":"p/a","value":"Yg==","revision":10}],"at":10})");
    const std::string marker = answer(200, R"({"events":[{"key":"p/b","value":"Yg==","revision":11}],"at":11})");
    std::vector<std::string> watches {"", "", "", deletionOfA, returned};
    watches.insert(watches.end(), 45, noChanges); // 50 ms each, which is more than the deletion waits.
    watches.push_back(marker);
    const auto events = watchEvents({listingOfA}, watches, 3);
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[1].entry.value, "b");
    EXPECT_EQ(events[2].entry.key, "p/b") << "the first deletion was reported although the key exists";
}

TEST(kv_watch, reportsNoDeletionWhileTheStoreIsAwayAgain)
{
    // The store goes away again at the answer after the deletion and stays away.
    const time_point begin = boot_clock::now();
    std::atomic<bool> deleted {false};
    std::atomic<int> watches {0};
    standins::scripted_server server(
        [&](const standins::scripted_request &request, standins::raw_connection &connection) {
            if (request.target.starts_with("/v1/kv-range")) {
                return connection.send(listingOfA);
            }
            if (++watches == 4) { // The client itself repeats a read that was reset.
                return connection.send(deletionOfA);
            }
            connection.resetOnClose();
            return false;
        });
    kv_platform_store store("http://" + server.address(), 500ms);
    const auto running = store.watch("p/", [&](const store_event &event) { deleted = deleted || event.deleted; });
    while (boot_clock::now() - begin < 4s) {
        std::this_thread::sleep_for(50ms);
        ASSERT_FALSE(deleted) << "a key was reported as deleted while its owner could not write it";
    }
    EXPECT_GT(watches, 4);
}

TEST(kv_watch, stopsDuringALongPoll)
{
    std::atomic<bool> ending {false};
    std::atomic<bool> waiting {false};
    standins::scripted_server server(
        [&](const standins::scripted_request &request, standins::raw_connection &connection) {
            if (request.target.starts_with("/v1/kv-range")) {
                return connection.send(answer(200, R"({"items":[],"at":8})"));
            }
            waiting = true;
            while (!ending) {
                std::this_thread::sleep_for(5ms);
            }
            return connection.send(noChanges);
        });
    kv_platform_store store("http://" + server.address(), 500ms);
    auto watch = store.watch("p/", [](const store_event &) {});
    while (!waiting) {
        std::this_thread::sleep_for(5ms);
    }
    const time_point begin = boot_clock::now();
    watch.reset();
    EXPECT_LT(boot_clock::now() - begin, 500ms) << "destroying the watch waited for the store";
    ending = true;
}

/** Another process reads until its changes are used up; the n-th call of await() returns the n-th entry. */
class scripted_relay : public watch_relay
{
public:
    explicit scripted_relay(std::vector<store_changes> script) : m_script(std::move(script))
    {
    }

    std::optional<store_changes> await(std::int64_t, bool, time_point) override
    {
        return m_next < m_script.size() ? std::optional(m_script[m_next++]) : std::nullopt;
    }

    void awaitRetry(std::chrono::milliseconds) override
    {
    }

    std::optional<std::chrono::milliseconds> readWait() const override
    {
        return std::nullopt;
    }

    void onRead(const store_changes &changes, time_point, bool settled) override
    {
        lastRevision = changes.revision;
        wasUnsettled = wasUnsettled || !settled;
    }

    void onOutage() override
    {
    }

    void close() override
    {
    }

    std::atomic<std::int64_t> lastRevision {0};
    std::atomic<bool> wasUnsettled {false};

private:
    const std::vector<store_changes> m_script;
    std::size_t m_next = 0;
};

// A watch that reads although another process does, loses its place when that ends, or believes a store that was away.
TEST(kv_watch, takesOverWhereAnotherProcessEnded)
{
    scripted_relay relay({{8, 12, {{false, {"p/a", "b", 11}}}}});
    std::string firstWatch;
    standins::scripted_server server([&](const standins::scripted_request &request,
                                         standins::raw_connection &connection) {
        if (request.target.starts_with("/v1/kv-range")) {
            return connection.send(listingOfA);
        }
        if (firstWatch.empty()) {
            firstWatch = request.target;
            std::this_thread::sleep_for(700ms); // Later than the store answers such a request.
            return connection.send(answer(200, R"({"events":[{"key":"p/a","revision":13,"removed":true}],"at":13})"));
        }
        std::this_thread::sleep_for(50ms);
        return connection.send(answer(200, R"({"events":[],"at":13})"));
    });
    kv_platform_store store("http://" + server.address(), 1500ms, &relay);
    event_log log;
    const time_point begin = boot_clock::now();
    const auto running = store.watch("p/", [&](const store_event &event) { log.add(event); });
    const auto events = log.waitFor(3);
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[1].entry.value, "b") << "what the other process read was not reported";
    EXPECT_NE(firstWatch.find("after=12&"), std::string::npos) << firstWatch;
    EXPECT_NE(firstWatch.find("wait_ms=1"), std::string::npos) << firstWatch;
    EXPECT_TRUE(events[2].deleted);
    EXPECT_GT(boot_clock::now() - begin, 2700ms) << "a deletion was believed at once though the store was away";
    EXPECT_TRUE(relay.wasUnsettled) << "others would rely on a store that was away";
    EXPECT_EQ(relay.lastRevision, 13);
}

} // namespace

} // namespace bronzechute::platform
