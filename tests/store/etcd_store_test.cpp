#include "store/etcd_store.h"

#include "standins/eventually.h"
#include "standins/reserved_port.h"
#include "store_fixture.h"

#include <gtest/gtest.h>

#include <optional>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

/** Expected result of a write under a fault, and the value in the store afterwards. */
struct write_row
{
    const char *name; ///< The failure that the row guards against.
    json faults;
    std::optional<errc> code; ///< Absent when the write succeeds.
    const char *value; ///< Value in the store after the fault has ended.
};

class etcd_store_writes : public testing::TestWithParam<write_row>
{
};

TEST_P(etcd_store_writes, reportTheActualOutcomeUnderFaults)
{
    store_fixture fixture(300ms);
    fixture.server->inject(GetParam().faults);
    const auto written = fixture.store->compareAndSwap("/k", 0, "v");
    if (GetParam().code) {
        ASSERT_FALSE(written);
        EXPECT_EQ(written.error().code, *GetParam().code) << written.error().toString();
    } else {
        EXPECT_TRUE(written) << written.error().toString();
    }
    EXPECT_TRUE(standins::eventually([&] { return fixture.valueOf("/k") == GetParam().value; }));
}

INSTANTIATE_TEST_SUITE_P(
    rows, etcd_store_writes,
    testing::Values(write_row {"plain_write_fails", json::object(), std::nullopt, "v"},
                    write_row {"outage_seen_as_unknown", {{"outage", true}}, errc::unavailable, "absent"},
                    write_row {"closed_connection_seen_as_proof",
                               {{"outage", true}, {"outage_closes", true}},
                               errc::outcome_unknown,
                               "absent"},
                    write_row {"late_write_seen_as_not_made", {{"delay_ms", 600}}, errc::outcome_unknown, "v"},
                    write_row {"slow_answer_seen_as_not_made", {{"delay_answer_ms", 600}}, errc::outcome_unknown, "v"},
                    write_row {"lost_answer_seen_as_not_made", {{"lose_answers", 1}}, errc::outcome_unknown, "v"}),
    [](const auto &row) { return std::string(row.param.name); });

struct read_row
{
    const char *name; ///< The failure that the row guards against.
    json faults;
    bool answered;
};

class etcd_store_reads : public testing::TestWithParam<read_row>
{
};

TEST_P(etcd_store_reads, failOnlyWhenTheStoreFails)
{
    store_fixture fixture(300ms);
    ASSERT_TRUE(fixture.store->compareAndSwap("/k/1", 0, "v"));
    fixture.server->inject(GetParam().faults);
    const auto entry = fixture.store->get("/k/1");
    ASSERT_EQ(static_cast<bool>(entry), GetParam().answered);
    if (entry) {
        ASSERT_TRUE(entry.value());
        EXPECT_EQ(entry.value()->value, "v");
        EXPECT_EQ(fixture.store->list("/k/").value().size(), 1U);
        EXPECT_FALSE(fixture.store->get("/k").value());
    } else {
        EXPECT_EQ(entry.error().code, errc::unavailable) << entry.error().toString();
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, etcd_store_reads,
    testing::Values(read_row {"plain_read_fails", json::object(), true},
                    read_row {"outage_seen_as_absent", {{"outage", true}}, false},
                    read_row {"closed_connection_seen_as_unknown", {{"outage", true}, {"outage_closes", true}}, false},
                    read_row {"timeout_seen_as_absent", {{"delay_ms", 600}}, false},
                    read_row {"read_counted_as_lost_write", {{"lose_answers", 1}}, true}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(etcd_store, usesTheNextEndpointWhenOneRefuses)
{
    store_fixture fixture;
    const standins::reserved_port unreachable;
    etcd_store_options options;
    options.endpoints = {"http://" + unreachable.address(), fixture.server->url()};
    etcd_store store(options);
    EXPECT_TRUE(store.compareAndSwap("/k", 0, "v"));
    options.endpoints.pop_back();
    const auto refused = etcd_store(options).compareAndSwap("/k", 0, "v");
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, errc::unavailable);
}

TEST(etcd_store, swapsOnlyTheExpectedVersion)
{
    store_fixture fixture;
    const auto first = fixture.store->compareAndSwap("/k", 0, "one");
    ASSERT_TRUE(first);
    EXPECT_EQ(fixture.store->compareAndSwap("/k", 0, "two").error().code, errc::conflict);
    const auto second = fixture.store->compareAndSwap("/k", first.value(), "two");
    ASSERT_TRUE(second);
    EXPECT_EQ(fixture.store->get("/k").value()->modRevision, second.value());
    EXPECT_EQ(fixture.store->compareAndDelete("/k", first.value()).error().code, errc::conflict);
    EXPECT_TRUE(fixture.store->compareAndDelete("/k", second.value()));
    EXPECT_EQ(fixture.valueOf("/k"), "absent");
}

TEST(etcd_store, appliesAllWritesOfATransactionOrNone)
{
    store_fixture fixture;
    ASSERT_TRUE(fixture.store->compareAndSwapAll({{"/a", 0, "1", 0}, {"/b", 0, "1", 0}}));
    EXPECT_EQ(fixture.store->compareAndSwapAll({{"/c", 0, "2", 0}, {"/b", 0, "2", 0}}).error().code, errc::conflict);
    EXPECT_EQ(fixture.valueOf("/c"), "absent");
}

TEST(etcd_store, reportsEachWriteOfABatchSeparately)
{
    store_fixture fixture;
    ASSERT_TRUE(fixture.store->compareAndSwap("/b", 0, "1"));
    const auto results = fixture.store->compareAndSwapEach({{"/a", 0, "2", 0}, {"/b", 0, "2", 0}, {"/c", 0, "2", 0}});
    ASSERT_EQ(results.size(), 3U);
    EXPECT_TRUE(results[0]);
    EXPECT_EQ(results[1].error().code, errc::conflict);
    EXPECT_TRUE(results[2]);
    EXPECT_EQ(results[0].value(), fixture.store->get("/a").value()->modRevision);
    EXPECT_EQ(fixture.valueOf("/b"), "1");
}

TEST(etcd_store, reportsAnExpiredLease)
{
    store_fixture fixture;
    const auto lease = fixture.store->grantLease(60s);
    ASSERT_TRUE(lease);
    ASSERT_TRUE(fixture.store->compareAndSwap("/held", 0, "v", lease.value()));
    EXPECT_TRUE(fixture.store->keepAlive(lease.value()));
    fixture.server->inject({{"lapse_leases", true}});
    EXPECT_EQ(fixture.store->keepAlive(lease.value()).error().code, errc::not_found);
    EXPECT_EQ(fixture.store->compareAndSwap("/late", 0, "v", lease.value()).error().code, errc::not_found);
    EXPECT_EQ(fixture.valueOf("/held"), "absent");
    EXPECT_EQ(fixture.valueOf("/late"), "absent");
    EXPECT_TRUE(fixture.store->revokeLease(lease.value()));
}

TEST(etcd_store, keepsBytesThatAreNotText)
{
    store_fixture fixture;
    const std::string bytes("\0\xFF\n\"x", 5);
    ASSERT_TRUE(fixture.store->compareAndSwap("/k", 0, bytes));
    EXPECT_EQ(fixture.store->get("/k").value()->value, bytes);
}

} // namespace
} // namespace bronzechute
