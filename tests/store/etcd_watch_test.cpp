#include "standins/eventually.h"
#include "store_fixture.h"

#include <gtest/gtest.h>

#include <map>
#include <mutex>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using standins::eventually;

/** Key-value state built by applying the events of a watch. */
class watched_state
{
public:
    std::function<void(const store_event &)> callback()
    {
        return [this](const store_event &event) {
            const std::scoped_lock lock(m_mutex);
            if (event.deleted) {
                m_state.erase(event.entry.key);
            } else {
                m_state[event.entry.key] = event.entry.value;
            }
        };
    }

    bool equals(const std::map<std::string, std::string> &state)
    {
        const std::scoped_lock lock(m_mutex);
        return m_state == state;
    }

private:
    ranked_mutex m_mutex {lock_rank::leaf};
    std::map<std::string, std::string> m_state;
};

struct watch_row
{
    const char *name; ///< The failure that the row guards against.
    json begin; ///< Injected before the changes.
    json end; ///< Injected after them.
};

class etcd_watch_follows : public testing::TestWithParam<watch_row>
{
};

TEST_P(etcd_watch_follows, allChangesUnderFaults)
{
    store_fixture fixture;
    ASSERT_TRUE(fixture.store->compareAndSwap("/w/kept", 0, "1"));
    const auto removed = fixture.store->compareAndSwap("/w/doomed", 0, "1");
    ASSERT_TRUE(removed);
    watched_state watched;
    const auto watch = fixture.store->watch("/w/", watched.callback());
    ASSERT_TRUE(eventually([&] { return watched.equals({{"/w/kept", "1"}, {"/w/doomed", "1"}}); }));
    ASSERT_TRUE(eventually([&] { return fixture.server->stats()["open_watches"] == 1; }));

    fixture.server->inject(GetParam().begin);
    const auto kept = fixture.store->get("/w/kept");
    ASSERT_TRUE(kept);
    ASSERT_TRUE(fixture.store->compareAndSwap("/w/kept", kept.value()->modRevision, "2"));
    ASSERT_TRUE(fixture.store->compareAndSwap("/w/new", 0, "2"));
    ASSERT_TRUE(fixture.store->compareAndDelete("/w/doomed", removed.value()));
    ASSERT_TRUE(fixture.store->compareAndSwap("/other", 0, "2"));
    fixture.server->inject(GetParam().end);
    fixture.server->inject({{"outage", false}});
    EXPECT_TRUE(eventually([&] { return watched.equals({{"/w/kept", "2"}, {"/w/new", "2"}}); }));
}

INSTANTIATE_TEST_SUITE_P(
    rows, etcd_watch_follows,
    testing::Values(watch_row {"plain_event_lost", json::object(), json::object()},
                    watch_row {"silent_connection_not_found", {{"silence_watches", true}}, json::object()},
                    watch_row {"change_lost_while_held", {{"hold_events_ms", 300}}, json::object()},
                    watch_row {"change_lost_with_the_connection", {{"hold_events_ms", 60000}}, {{"outage", true}}},
                    watch_row {"change_lost_while_slow", {{"delay_ms", 50}}, json::object()}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(etcd_watch, reportsTheStateOfARolledBackStore)
{
    store_fixture fixture;
    const auto first = fixture.store->compareAndSwap("/w/a", 0, "1");
    ASSERT_TRUE(first);
    ASSERT_TRUE(fixture.store->compareAndSwap("/w/a", first.value(), "2"));
    ASSERT_TRUE(fixture.store->compareAndSwap("/w/b", 0, "2"));
    watched_state watched;
    const auto watch = fixture.store->watch("/w/", watched.callback());
    ASSERT_TRUE(eventually([&] { return watched.equals({{"/w/a", "2"}, {"/w/b", "2"}}); }));
    fixture.server->inject({{"rollback", first.value()}});
    EXPECT_TRUE(eventually([&] { return watched.equals({{"/w/a", "1"}}); }));
}

TEST(etcd_watch, idleWatchIsNotReopened)
{
    store_fixture fixture;
    watched_state watched;
    const auto watch = fixture.store->watch("/w/", watched.callback());
    // Longer than the idle timeout after which a watch without progress notifications is reopened.
    std::this_thread::sleep_for(4s);
    EXPECT_EQ(fixture.server->stats()["calls"]["watch"], 1);
}

TEST(etcd_watch, reportsNoEventAfterDestruction)
{
    store_fixture fixture;
    watched_state watched;
    fixture.store->watch("/w/", watched.callback()).reset();
    ASSERT_TRUE(fixture.store->compareAndSwap("/w/a", 0, "1"));
    EXPECT_TRUE(watched.equals({}));
    EXPECT_TRUE(eventually([&] { return fixture.server->stats()["open_watches"] == 0; }));
}

} // namespace
} // namespace bronzechute
