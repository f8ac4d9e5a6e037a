#include "claim_fixture.h"
#include "standins/eventually.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <map>
#include <thread>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using standins::eventually;

constexpr auto callTimeout = 200ms;

/** @returns whether the registry comes to the verdict. */
bool becomes(claim_registry &registry, const claim_request &request, claim_verdict verdict)
{
    return eventually([&] {
        const auto outcome = registry.claim(request);
        return outcome && outcome.value().verdict == verdict;
    });
}

struct claim_row
{
    const char *name; ///< The failure that the row guards against.
    json faults; ///< While the first entry claims.
    bool claimed; ///< By the first entry; otherwise it must refuse.
    claim_verdict second; ///< What another entry learns once the fault is over.
};

class claim_registry_claims : public testing::TestWithParam<claim_row>
{
};

TEST_P(claim_registry_claims, runAtMostOnce)
{
    store_fixture fixture(callTimeout);
    claiming_entry first(*fixture.store, "first", 1);
    claiming_entry second(*fixture.store, "second", 2);
    ASSERT_TRUE(eventually([&] { return first.incarnation->registered() && second.incarnation->registered(); }));
    // The first claim obtains the lease that the next ones use.
    ASSERT_TRUE(becomes(*first.registry, requestFor("earlier"), claim_verdict::claimed));
    fixture.server->inject(GetParam().faults);
    const auto outcome = first.registry->claim(requestFor("key"));
    ASSERT_EQ(static_cast<bool>(outcome), GetParam().claimed);
    if (outcome) {
        EXPECT_EQ(outcome.value().verdict, claim_verdict::claimed);
    } else {
        EXPECT_EQ(outcome.error().code, errc::unavailable) << outcome.error().toString();
    }
    fixture.server->inject(noFaults);
    EXPECT_TRUE(becomes(*second.registry, requestFor("key"), GetParam().second));
}

INSTANTIATE_TEST_SUITE_P(
    rows, claim_registry_claims,
    testing::Values(
        claim_row {"key_claimed_twice", json::object(), true, claim_verdict::in_progress},
        claim_row {"own_claim_not_recognised", {{"lose_answers", 1}}, true, claim_verdict::in_progress},
        claim_row {"own_claim_not_recognised_twice", {{"lose_answers", 2}}, true, claim_verdict::in_progress},
        claim_row {"run_during_outage", {{"outage", true}}, false, claim_verdict::claimed},
        claim_row {
            "run_on_closed_connection", {{"outage", true}, {"outage_closes", true}}, false, claim_verdict::claimed},
        claim_row {"late_claim_blocks_the_key", {{"delay_ms", 700}}, false, claim_verdict::claimed},
        claim_row {"slow_answers_block_the_key", {{"delay_answer_ms", 700}}, false, claim_verdict::claimed}),
    [](const auto &row) { return std::string(row.param.name); });

// The write of a refused claim arrives at the store after the claim was given up and settled.
TEST(claim_registry, delayedWriteOfARefusedClaimHasNoEffect)
{
    store_fixture fixture(callTimeout);
    claiming_entry first(*fixture.store, "first", 1);
    claiming_entry second(*fixture.store, "second", 2);
    ASSERT_TRUE(eventually([&] { return first.incarnation->registered() && second.incarnation->registered(); }));
    ASSERT_TRUE(becomes(*first.registry, requestFor("earlier"), claim_verdict::claimed));
    fixture.server->inject({{"delay_ms", 900}});
    ASSERT_FALSE(first.registry->claim(requestFor("key")));
    fixture.server->inject(noFaults);
    ASSERT_TRUE(eventually([&] {
        const json stats = fixture.server->stats();
        return first.registry->pending() == 0 && stats["calls"]["txn"] == stats["writes"];
    }));
    EXPECT_TRUE(becomes(*second.registry, requestFor("key"), claim_verdict::claimed));
}

TEST(claim_registry, replacesALapsedLease)
{
    store_fixture fixture;
    claiming_entry entry(*fixture.store, "entry", 1);
    ASSERT_TRUE(becomes(*entry.registry, requestFor("earlier"), claim_verdict::claimed));
    fixture.server->inject({{"lapse_leases", true}});
    EXPECT_TRUE(becomes(*entry.registry, requestFor("key"), claim_verdict::claimed));
    EXPECT_TRUE(becomes(*entry.registry, requestFor("key"), claim_verdict::in_progress));
}

TEST(claim_registry, otherRequestWithTheKeyIsRefused)
{
    store_fixture fixture;
    claiming_entry entry(*fixture.store, "entry", 1);
    ASSERT_TRUE(becomes(*entry.registry, requestFor("key"), claim_verdict::claimed));
    EXPECT_TRUE(becomes(*entry.registry, requestFor("key", "other"), claim_verdict::fingerprint_differs));
}

TEST(claim_registry, keysOfAccountsAreApart)
{
    claim_request first {"service", "a", "bc", "f"};
    claim_request second {"service", "ab", "c", "f"};
    EXPECT_NE(claim_registry::storeKey(first), claim_registry::storeKey(second));
}

using settle_call = std::function<result<void>(claim_registry &, const held_claim &, const http_answer &)>;

const settle_call finish = [](claim_registry &registry, const held_claim &claim, const http_answer &answer) {
    return registry.finish(claim, answer);
};
const settle_call release = [](claim_registry &registry, const held_claim &claim, const http_answer &) {
    return registry.release(claim);
};
const settle_call loseAnswer = [](claim_registry &registry, const held_claim &claim, const http_answer &) {
    return registry.loseAnswer(claim);
};

struct settle_row
{
    const char *name; ///< The failure that the row guards against.
    json faults; ///< While the first entry settles its claim.
    settle_call settle;
    std::size_t bodyBytes;
    bool ownerDies; ///< After the fault is over and its pending claims are settled.
    claim_verdict second; ///< What another entry learns in the end.
};

class claim_registry_settles : public testing::TestWithParam<settle_row>
{
};

TEST_P(claim_registry_settles, claimsUnderFaults)
{
    store_fixture fixture(callTimeout);
    claiming_entry first(*fixture.store, "first", 1);
    claiming_entry second(*fixture.store, "second", 2);
    ASSERT_TRUE(eventually([&] { return first.incarnation->registered() && second.incarnation->registered(); }));
    const auto outcome = first.registry->claim(requestFor("key"));
    ASSERT_TRUE(outcome);
    ASSERT_EQ(outcome.value().verdict, claim_verdict::claimed);
    const http_answer answer {201, {{"Location", "/orders/1"}}, std::string(GetParam().bodyBytes, '\xC3')};
    fixture.server->inject(GetParam().faults);
    const auto settled = GetParam().settle(*first.registry, outcome.value().claim, answer);
    EXPECT_TRUE(settled || settled.error().code == errc::unavailable);
    fixture.server->inject(noFaults);
    EXPECT_TRUE(eventually([&] { return first.registry->pending() == 0; }));
    if (GetParam().ownerDies) {
        first.stop();
    }
    EXPECT_TRUE(becomes(*second.registry, requestFor("key"), GetParam().second));
    if (GetParam().second == claim_verdict::finished) {
        EXPECT_EQ(second.registry->claim(requestFor("key")).value().answer, answer);
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, claim_registry_settles,
    testing::Values(
        settle_row {"answer_lost", json::object(), finish, 100, false, claim_verdict::finished},
        settle_row {"answer_lost_with_its_owner", json::object(), finish, 100, true, claim_verdict::finished},
        settle_row {
            "answer_lost_with_the_store_answer", {{"lose_answers", 1}}, finish, 100, false, claim_verdict::finished},
        settle_row {"answer_lost_in_outage", {{"outage", true}}, finish, 100, false, claim_verdict::finished},
        settle_row {"late_answer_lost", {{"delay_ms", 500}}, finish, 100, false, claim_verdict::finished},
        settle_row {"large_answer_run_again", json::object(), finish, std::size_t {300} * 1024, false,
                    claim_verdict::unknown},
        settle_row {"release_lost", json::object(), release, 0, false, claim_verdict::claimed},
        settle_row {"release_lost_in_outage", {{"outage", true}}, release, 0, false, claim_verdict::claimed},
        settle_row {
            "release_lost_with_the_store_answer", {{"lose_answers", 1}}, release, 0, false, claim_verdict::claimed},
        settle_row {"late_release_lost", {{"delay_ms", 500}}, release, 0, false, claim_verdict::claimed},
        settle_row {"lost_answer_seen_as_in_progress", json::object(), loseAnswer, 0, false, claim_verdict::unknown},
        settle_row {"lost_answer_frees_the_key_of_a_dead_owner", json::object(), loseAnswer, 0, true,
                    claim_verdict::unknown},
        settle_row {"lost_answer_not_kept_in_outage", {{"outage", true}}, loseAnswer, 0, false, claim_verdict::unknown},
        settle_row {"lost_answer_not_kept_when_the_store_answer_is_lost",
                    {{"lose_answers", 1}},
                    loseAnswer,
                    0,
                    false,
                    claim_verdict::unknown},
        settle_row {
            "lost_answer_not_kept_when_late", {{"delay_ms", 500}}, loseAnswer, 0, false, claim_verdict::unknown}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(claim_registry, claimOfADeadOwnerIsUnknown)
{
    store_fixture fixture;
    claiming_entry first(*fixture.store, "first", 1);
    claiming_entry second(*fixture.store, "second", 2);
    ASSERT_TRUE(eventually([&] { return first.incarnation->registered(); }));
    ASSERT_TRUE(becomes(*first.registry, requestFor("key"), claim_verdict::claimed));
    EXPECT_EQ(second.registry->claim(requestFor("key")).value().verdict, claim_verdict::in_progress);
    first.stop();
    EXPECT_EQ(second.registry->claim(requestFor("key")).value().verdict, claim_verdict::unknown);
}

TEST(claim_registry, returnsFromPauseWithALapsedIncarnation)
{
    store_fixture fixture;
    claiming_entry entry(*fixture.store, "entry", 1);
    ASSERT_TRUE(eventually([&] { return entry.incarnation->registered(); }));
    fixture.server->inject({{"lapse_leases", true}});
    EXPECT_EQ(fixture.valueOf("/bronzechute/incarnations/entry"), "absent");
    EXPECT_TRUE(eventually([&] { return fixture.valueOf("/bronzechute/incarnations/entry") != "absent"; }));
}

class claim_registry_race : public testing::TestWithParam<int>
{
};

// Four entries claim the same keys at the same time while answers are lost and calls are late.
TEST_P(claim_registry_race, oneClaimEachKey)
{
    constexpr int entryCount = 4;
    constexpr int keyCount = 25;
    RecordProperty("seed", GetParam());
    store_fixture fixture(100ms);
    std::vector<std::atomic<int>> claimed(keyCount);
    std::atomic<bool> done {false};
    std::thread faults([&] {
        std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
        while (!done) {
            fixture.server->inject({{"lose_answers", static_cast<int>(random() % 3)},
                                    {"delay_ms", random() % 4 == 0 ? 130 : 0},
                                    {"delay_answer_ms", random() % 4 == 0 ? 130 : 0},
                                    {"outage", random() % 6 == 0}});
            std::this_thread::sleep_for(std::chrono::milliseconds(random() % 30));
        }
    });
    std::vector<std::thread> entries;
    entries.reserve(entryCount);
    for (int index = 0; index < entryCount; ++index) {
        entries.emplace_back([&, index] {
            const auto store = fixture.makeStore(100ms);
            claiming_entry entry(*store, "entry" + std::to_string(index), static_cast<std::uint64_t>(index));
            for (int key = 0; key < keyCount; ++key) {
                const auto outcome = entry.registry->claim(requestFor(std::to_string(key)));
                claimed[static_cast<std::size_t>(key)] += outcome && outcome.value().verdict == claim_verdict::claimed;
            }
        });
    }
    for (std::thread &thread : entries) {
        thread.join();
    }
    done = true;
    faults.join();
    for (const auto &count : claimed) {
        EXPECT_LE(count, 1) << "seed " << GetParam();
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, claim_registry_race, testing::Values(11, 12, 13));

} // namespace
} // namespace bronzechute
