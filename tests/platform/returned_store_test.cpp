#include "kv_platform_store.h"

#include "base/boot_clock.h"
#include "standins/eventually.h"
#include "standins/kv_server.h"
#include "standins/scripted_server.h"
#include "store_era.h"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <vector>

namespace bronzechute::platform {

namespace {

using namespace std::chrono_literals;

/** A store that comes back from a copy, and two processes that use it. */
class returned_store : public testing::Test
{
protected:
    returned_store()
        : m_server(std::move(standins::kv_server::start().value()))
        , m_store("http://127.0.0.1:" + std::to_string(m_server->port()), 1s)
        , m_other("http://127.0.0.1:" + std::to_string(m_server->port()), 1s)
    {
    }

    void copy()
    {
        m_server->inject({{"copy", true}});
    }

    void returnFromCopy()
    {
        m_server->inject({{"return_from_copy", true}});
    }

    std::unique_ptr<standins::kv_server> m_server;
    kv_platform_store m_store;
    kv_platform_store m_other;
};

TEST_F(returned_store, givesOutRevisionsThatDoNotGoBack)
{
    copy();
    const auto before = m_store.compareAndSwap("key", 0, "lost");
    returnFromCopy();
    const auto after = m_store.compareAndSwap("key", 0, "kept");
    ASSERT_TRUE(before);
    ASSERT_TRUE(after);
    EXPECT_GT(after.value(), before.value());
    EXPECT_EQ(storeRevisionOf(after.value()), storeRevisionOf(before.value()));
}

struct condition_row
{
    const char *name; ///< Failure that the row guards against.
    bool hasSeenReturn; ///< Whether the writer has had an answer since.
    errc expected;
};

class returned_condition : public returned_store, public testing::WithParamInterface<condition_row>
{
};

TEST_P(returned_condition, doesNotHoldForARevisionThatWasGivenOutAgain)
{
    copy();
    const auto own = m_store.compareAndSwap("key", 0, "lost");
    returnFromCopy();
    ASSERT_TRUE(m_other.compareAndSwap("key", 0, "of another process"));
    if (GetParam().hasSeenReturn) {
        ASSERT_TRUE(m_store.get("other"));
    }
    const auto written = m_store.compareAndSwap("key", own.value(), "overwritten");
    ASSERT_FALSE(written);
    EXPECT_EQ(written.error().code, GetParam().expected) << written.error().toString();
}

INSTANTIATE_TEST_SUITE_P(rows, returned_condition,
                         testing::Values(condition_row {"foreign_value_is_overwritten", true, errc::conflict},
                                         condition_row {"blind_write_passes_for_its_own", false,
                                                        errc::outcome_unknown}),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against two holders of one lease, as lease numbers are given out again.
TEST_F(returned_store, forgetsLeasesThatItGaveOutSinceTheCopy)
{
    copy();
    const auto lost = m_store.grantLease(60s);
    returnFromCopy();
    const auto foreign = m_other.grantLease(60s);
    ASSERT_EQ(lost.value(), foreign.value());
    ASSERT_TRUE(m_other.compareAndSwap("key", 0, "of another process", foreign.value()));
    const auto renewed = m_store.keepAlive(lost.value());
    ASSERT_FALSE(renewed);
    EXPECT_EQ(renewed.error().code, errc::not_found);
    EXPECT_TRUE(m_store.revokeLease(lost.value()));
    EXPECT_TRUE(m_other.get("key").value().has_value()) << "the lease of another process was ended";
}

std::string answer(const std::string &body, int era)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against changes that a watch leaves out, since the revisions of the lost ones were given out again.
TEST(returned_watch, readsWhatWasWrittenUnderRevisionsThatItKnows)
{
    std::atomic<int> watches {0};
    std::atomic<int> listings {0};
    standins::scripted_server server([&](const standins::scripted_request &request,
                                         standins::raw_connection &connection) {
        if (request.target.starts_with("/v1/kv-range")) {
            return connection.send(++listings == 1
                                       ? answer(R"({"items":[{"key":"p/a","value":"YQ==","revision":3}],"at":8})", 1)
                                       : answer(R"({"items":[{"key":"p/b","value":"Yg==","revision":8},)"
                                                R"({"key":"p/c","value":"Yg==","revision":9}],"at":9})",
                                                2));
        }
        std::this_thread::sleep_for(50ms);
        return connection.send(++watches == 1
                                   ? answer(R"({"events":[{"key":"p/c","value":"Yg==","revision":9}],"at":9})", 2)
                                   : answer(R"({"events":[],"at":9})", 2));
    });
    kv_platform_store store("http://" + server.address(), 500ms);
    std::mutex mutex;
    std::vector<std::string> events;
    const time_point begin = boot_clock::now();
    const auto running = store.watch("p/", [&](const store_event &event) {
        const std::scoped_lock lock(mutex);
        events.push_back((event.deleted ? "-" : "+") + event.entry.key);
    });
    EXPECT_TRUE(standins::eventually([&] {
        const std::scoped_lock lock(mutex);
        return events.size() >= 4;
    }));
    EXPECT_EQ(events, (std::vector<std::string> {"+p/a", "+p/b", "+p/c", "-p/a"}));
    EXPECT_GT(boot_clock::now() - begin, 2s) << "the owner of the lost key had no time to write it again";
}

} // namespace

} // namespace bronzechute::platform
