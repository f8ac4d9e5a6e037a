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

/** @returns whether claim() returns the verdict before the time limit of eventually(). */
bool eventuallyReturns(claim_registry &registry, const claim_request &request, claim_verdict verdict)
{
    return eventually([&] {
        const auto outcome = registry.claim(request);
        return outcome && outcome.value().verdict == verdict;
    });
}

struct claim_row
{
    const char *name; ///< The failure that the row guards against.
    json faults; ///< Injected while the first entry claims the key.
    bool claimed; ///< Whether the first entry obtains the claim; otherwise it must report errc::unavailable.
    claim_verdict second; ///< Verdict for another entry after the fault has ended.
};

class claim_registry_claims : public testing::TestWithParam<claim_row>
{
};

TEST_P(claim_registry_claims, runAtMostOnce)
{
    store_fixture fixture(callTimeout);
    claiming_entry first(*fixture.store, "first", 1);
    claiming_entry second(*fixture.store, "second", 2);
    ASSERT_TRUE(eventually([&] { return first.incarnation->isRegistered() && second.incarnation->isRegistered(); }));
    // This claim obtains the shared lease, so that the faults affect only the claim itself.
    ASSERT_TRUE(eventuallyReturns(*first.registry, requestFor("earlier"), claim_verdict::claimed));
    fixture.server->inject(GetParam().faults);
    const auto outcome = first.registry->claim(requestFor("key"));
    ASSERT_EQ(static_cast<bool>(outcome), GetParam().claimed);
    if (outcome) {
        EXPECT_EQ(outcome.value().verdict, claim_verdict::claimed);
    } else {
        EXPECT_EQ(outcome.error().code, errc::unavailable) << outcome.error().toString();
    }
    fixture.server->inject(noFaults);
    EXPECT_TRUE(eventuallyReturns(*second.registry, requestFor("key"), GetParam().second));
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

// A delayed write of an abandoned claim must not block the key after the claim was released.
TEST(claim_registry, delayedWriteOfARefusedClaimHasNoEffect)
{
    store_fixture fixture(callTimeout);
    claiming_entry first(*fixture.store, "first", 1);
    claiming_entry second(*fixture.store, "second", 2);
    ASSERT_TRUE(eventually([&] { return first.incarnation->isRegistered() && second.incarnation->isRegistered(); }));
    ASSERT_TRUE(eventuallyReturns(*first.registry, requestFor("earlier"), claim_verdict::claimed));
    fixture.server->inject({{"delay_ms", 900}});
    ASSERT_FALSE(first.registry->claim(requestFor("key")));
    fixture.server->inject(noFaults);
    ASSERT_TRUE(eventually([&] {
        const json stats = fixture.server->stats();
        return first.registry->pending() == 0 && stats["calls"]["txn"] == stats["writes"];
    }));
    EXPECT_TRUE(eventuallyReturns(*second.registry, requestFor("key"), claim_verdict::claimed));
}

TEST(claim_registry, replacesAnExpiredLease)
{
    store_fixture fixture;
    claiming_entry entry(*fixture.store, "entry", 1);
    ASSERT_TRUE(eventuallyReturns(*entry.registry, requestFor("earlier"), claim_verdict::claimed));
    fixture.server->inject({{"lapse_leases", true}});
    EXPECT_TRUE(eventuallyReturns(*entry.registry, requestFor("key"), claim_verdict::claimed));
    EXPECT_TRUE(eventuallyReturns(*entry.registry, requestFor("key"), claim_verdict::in_progress));
}

TEST(claim_registry, otherRequestWithTheKeyIsRefused)
{
    store_fixture fixture;
    claiming_entry entry(*fixture.store, "entry", 1);
    ASSERT_TRUE(eventuallyReturns(*entry.registry, requestFor("key"), claim_verdict::claimed));
    EXPECT_TRUE(eventuallyReturns(*entry.registry, requestFor("key", "other"), claim_verdict::fingerprint_differs));
}

TEST(claim_registry, keysOfDifferentAccountsDiffer)
{
    claim_request first {"service", "a", "bc", "f"};
    claim_request second {"service", "ab", "c", "f"};
    EXPECT_NE(claim_registry::storeKey(first), claim_registry::storeKey(second));
}

using finalize_call = std::function<result<void>(claim_registry &, const held_claim &, const http_answer &)>;

const finalize_call finish = [](claim_registry &registry, const held_claim &claim, const http_answer &answer) {
    return registry.finish(claim, answer);
};
const finalize_call release = [](claim_registry &registry, const held_claim &claim, const http_answer &) {
    return registry.release(claim);
};
const finalize_call finishWithoutAnswer = [](claim_registry &registry, const held_claim &claim, const http_answer &) {
    return registry.finishWithoutAnswer(claim);
};

struct finalize_row
{
    const char *name; ///< The failure that the row guards against.
    json faults; ///< Injected while the first entry writes the final state of its claim.
    finalize_call finalize;
    std::size_t bodyBytes;
    bool ownerStops; ///< Whether the owner stops after the fault has ended and its pending claims are written.
    claim_verdict second; ///< Final verdict for another entry.
};

class claim_registry_finalizes : public testing::TestWithParam<finalize_row>
{
};

TEST_P(claim_registry_finalizes, claimsUnderFaults)
{
    store_fixture fixture(callTimeout);
    claiming_entry first(*fixture.store, "first", 1);
    claiming_entry second(*fixture.store, "second", 2);
    ASSERT_TRUE(eventually([&] { return first.incarnation->isRegistered() && second.incarnation->isRegistered(); }));
    const auto outcome = first.registry->claim(requestFor("key"));
    ASSERT_TRUE(outcome);
    ASSERT_EQ(outcome.value().verdict, claim_verdict::claimed);
    const http_answer answer {201, {{"Location", "/orders/1"}}, std::string(GetParam().bodyBytes, '\xC3')};
    fixture.server->inject(GetParam().faults);
    const auto finalized = GetParam().finalize(*first.registry, outcome.value().claim, answer);
    EXPECT_TRUE(finalized || finalized.error().code == errc::unavailable);
    fixture.server->inject(noFaults);
    EXPECT_TRUE(eventually([&] { return first.registry->pending() == 0; }));
    if (GetParam().ownerStops) {
        first.stop();
    }
    EXPECT_TRUE(eventuallyReturns(*second.registry, requestFor("key"), GetParam().second));
    if (GetParam().second == claim_verdict::finished) {
        EXPECT_EQ(second.registry->claim(requestFor("key")).value().answer, answer);
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, claim_registry_finalizes,
    testing::Values(
        finalize_row {"answer_lost", json::object(), finish, 100, false, claim_verdict::finished},
        finalize_row {"answer_lost_with_its_owner", json::object(), finish, 100, true, claim_verdict::finished},
        finalize_row {
            "answer_lost_with_the_store_answer", {{"lose_answers", 1}}, finish, 100, false, claim_verdict::finished},
        finalize_row {"answer_lost_in_outage", {{"outage", true}}, finish, 100, false, claim_verdict::finished},
        finalize_row {"late_answer_lost", {{"delay_ms", 500}}, finish, 100, false, claim_verdict::finished},
        finalize_row {"large_answer_run_again", json::object(), finish, std::size_t {300} * 1024, false,
                      claim_verdict::unknown},
        finalize_row {"release_lost", json::object(), release, 0, false, claim_verdict::claimed},
        finalize_row {"release_lost_in_outage", {{"outage", true}}, release, 0, false, claim_verdict::claimed},
        finalize_row {
            "release_lost_with_the_store_answer", {{"lose_answers", 1}}, release, 0, false, claim_verdict::claimed},
        finalize_row {"late_release_lost", {{"delay_ms", 500}}, release, 0, false, claim_verdict::claimed},
        finalize_row {"lost_answer_seen_as_in_progress", json::object(), finishWithoutAnswer, 0, false,
                      claim_verdict::unknown},
        finalize_row {"lost_answer_frees_the_key_of_a_dead_owner", json::object(), finishWithoutAnswer, 0, true,
                      claim_verdict::unknown},
        finalize_row {"lost_answer_not_kept_in_outage",
                      {{"outage", true}},
                      finishWithoutAnswer,
                      0,
                      false,
                      claim_verdict::unknown},
        finalize_row {"lost_answer_not_kept_when_the_store_answer_is_lost",
                      {{"lose_answers", 1}},
                      finishWithoutAnswer,
                      0,
                      false,
                      claim_verdict::unknown},
        finalize_row {"lost_answer_not_kept_when_late",
                      {{"delay_ms", 500}},
                      finishWithoutAnswer,
                      0,
                      false,
                      claim_verdict::unknown}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(claim_registry, claimOfAStoppedOwnerIsUnknown)
{
    store_fixture fixture;
    claiming_entry first(*fixture.store, "first", 1);
    claiming_entry second(*fixture.store, "second", 2);
    ASSERT_TRUE(eventually([&] { return first.incarnation->isRegistered(); }));
    ASSERT_TRUE(eventuallyReturns(*first.registry, requestFor("key"), claim_verdict::claimed));
    EXPECT_EQ(second.registry->claim(requestFor("key")).value().verdict, claim_verdict::in_progress);
    first.stop();
    EXPECT_EQ(second.registry->claim(requestFor("key")).value().verdict, claim_verdict::unknown);
}

TEST(claim_registry, registersAgainAfterTheLeaseExpired)
{
    store_fixture fixture;
    claiming_entry entry(*fixture.store, "entry", 1);
    ASSERT_TRUE(eventually([&] { return entry.incarnation->isRegistered(); }));
    fixture.server->inject({{"lapse_leases", true}});
    EXPECT_EQ(fixture.valueOf("/bronzechute/incarnations/entry"), "absent");
    EXPECT_TRUE(eventually([&] { return fixture.valueOf("/bronzechute/incarnations/entry") != "absent"; }));
}

class claim_registry_race : public testing::TestWithParam<int>
{
};

// Guards against two entries obtaining the same claim when responses of the store are lost or delayed.
TEST_P(claim_registry_race, grantsOneClaimPerKey)
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
