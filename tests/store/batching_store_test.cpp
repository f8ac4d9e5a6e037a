#include "store/batching_store.h"

#include "claim_fixture.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

struct group_row
{
    const char *name; ///< The failure that the row guards against.
    json faults;
    std::size_t valueBytes;
    int writers; ///< Number of threads; each writes a key of its own and one key shared by all.
    bool written; ///< Whether the writes to the threads' own keys succeed.
};

class batching_store_writes : public testing::TestWithParam<group_row>
{
};

TEST_P(batching_store_writes, returnEachCallerItsOwnResult)
{
    store_fixture fixture(1s);
    batching_store grouped(*fixture.store);
    fixture.server->inject(GetParam().faults);
    const std::string value(GetParam().valueBytes, 'v');
    std::atomic<int> written {0};
    std::atomic<int> shared {0};
    std::vector<std::thread> writers;
    writers.reserve(static_cast<std::size_t>(GetParam().writers));
    for (int index = 0; index < GetParam().writers; ++index) {
        writers.emplace_back([&, index] {
            written += static_cast<bool>(grouped.compareAndSwap("/own/" + std::to_string(index), 0, value));
            shared += static_cast<bool>(grouped.compareAndSwap("/shared", 0, std::to_string(index)));
        });
    }
    for (std::thread &writer : writers) {
        writer.join();
    }
    fixture.server->inject(noFaults);
    EXPECT_EQ(written, GetParam().written ? GetParam().writers : 0);
    EXPECT_LE(shared, 1);
    EXPECT_EQ(fixture.store->list("/own/").value().size(), static_cast<std::size_t>(written));
}

INSTANTIATE_TEST_SUITE_P(rows, batching_store_writes,
                         testing::Values(group_row {"lone_write_waits", json::object(), 10, 1, true},
                                         group_row {"answers_swapped", {{"delay_ms", 5}}, 10, 48, true},
                                         group_row {"group_over_request_limit", {{"delay_ms", 5}}, 300000, 8, true},
                                         group_row {"outage_seen_as_written", {{"outage", true}}, 10, 8, false}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(batching_store, batchesConcurrentWrites)
{
    store_fixture fixture;
    batching_store grouped(*fixture.store);
    claiming_entry entry(grouped, "entry", 1);
    ASSERT_TRUE(entry.registry->claim(requestFor("earlier")));
    const auto before = fixture.server->stats()["writes"].get<int>();
    fixture.server->inject({{"delay_ms", 20}});
    constexpr int claimCount = 32;
    std::atomic<int> claimed {0};
    std::vector<std::thread> callers;
    callers.reserve(claimCount);
    for (int index = 0; index < claimCount; ++index) {
        callers.emplace_back([&, index] {
            const auto outcome = entry.registry->claim(requestFor(std::to_string(index)));
            claimed += outcome && outcome.value().verdict == claim_verdict::claimed;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    EXPECT_EQ(claimed, claimCount);
    EXPECT_LT(fixture.server->stats()["writes"].get<int>() - before, claimCount / 2);
}

} // namespace
} // namespace bronzechute
