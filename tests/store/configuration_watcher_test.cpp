#include "standins/eventually.h"
#include "store/configuration_watcher.h"
#include "store/store_configuration_repository.h"
#include "store_fixture.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using standins::eventually;

configuration_envelope envelopeOf(std::int64_t revision, const std::string &writeId)
{
    configuration_envelope envelope;
    envelope.revision = revision;
    envelope.writeId = writeId;
    envelope.author = "team";
    envelope.at = "2026-01-01T00:00:00Z";
    envelope.content.dataCentres = {{writeId, true}};
    return envelope;
}

struct holder_row
{
    const char *name; ///< The failure that the row guards against.
    std::int64_t revision;
    bool applied;
};

class configuration_holder_applies : public testing::TestWithParam<holder_row>
{
};

TEST_P(configuration_holder_applies, onlyNewerRevisions)
{
    configuration_holder holder;
    std::vector<std::int64_t> notifiedRevisions;
    holder.subscribe([&](const configuration_ptr &applied) { notifiedRevisions.push_back(applied->revision); });
    const int removedSubscription =
        holder.subscribe([&](const configuration_ptr &) { notifiedRevisions.push_back(-1); });
    holder.unsubscribe(removedSubscription);
    ASSERT_TRUE(holder.apply(envelopeOf(5, "a"), configuration_source::store));
    EXPECT_EQ(holder.apply(envelopeOf(GetParam().revision, "b"), configuration_source::peer), GetParam().applied);
    EXPECT_EQ(holder.current()->writeId, GetParam().applied ? "b" : "a");
    EXPECT_EQ(holder.source(), GetParam().applied ? configuration_source::peer : configuration_source::store);
    EXPECT_EQ(notifiedRevisions.size(), GetParam().applied ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(rows, configuration_holder_applies,
                         testing::Values(holder_row {"older_document_in_force", 4, false},
                                         holder_row {"other_document_of_same_revision_in_force", 5, false},
                                         holder_row {"newer_document_ignored", 6, true},
                                         holder_row {"skipped_revision_ignored", 9, true}),
                         [](const auto &row) { return std::string(row.param.name); });

struct watcher_row
{
    const char *name; ///< The failure that the row guards against.
    json faults; ///< Injected while revision 2 is active.
    int keptRevisions; ///< Number of revisions left in the store after a rollback; -1 for no rollback.
};

class configuration_watcher_restores : public testing::TestWithParam<watcher_row>
{
};

TEST_P(configuration_watcher_restores, theNewestDocument)
{
    store_fixture fixture;
    store_configuration_repository repository(*fixture.store, 1);
    std::vector<std::int64_t> storeRevisions = {1};
    for (int revision = 0; revision < 2; ++revision) {
        ASSERT_TRUE(repository.propose(envelopeOf(0, std::to_string(revision)).content, revision, "team"));
        storeRevisions.push_back(fixture.server->stats()["revision"].get<std::int64_t>());
    }
    configuration_holder holder;
    configuration_watcher watcher(*fixture.store, holder, 2, 200ms);
    ASSERT_TRUE(eventually([&] { return holder.current()->revision == 2; }));
    EXPECT_EQ(holder.source(), configuration_source::store);
    EXPECT_TRUE(watcher.lastContact());
    const configuration_ptr held = holder.current();

    json faults = GetParam().faults;
    if (GetParam().keptRevisions >= 0) {
        faults["rollback"] = storeRevisions[static_cast<std::size_t>(GetParam().keptRevisions)];
    }
    fixture.server->inject(faults);
    if (GetParam().keptRevisions >= 0) {
        EXPECT_TRUE(eventually([&] { return watcher.counts().writtenBack == 1; }));
        EXPECT_GE(watcher.counts().storeBehind, 1);
    }
    EXPECT_TRUE(eventually([&] {
        const auto stored = repository.current();
        return stored && stored.value() == *held;
    }));
    EXPECT_EQ(repository.at(2).value(), *held);
    EXPECT_EQ(*holder.current(), *held);
}

INSTANTIATE_TEST_SUITE_P(rows, configuration_watcher_restores,
                         testing::Values(watcher_row {"document_lost_without_fault", json::object(), -1},
                                         watcher_row {"older_store_not_restored", json::object(), 1},
                                         watcher_row {"empty_store_not_restored", json::object(), 0},
                                         watcher_row {"silent_watch_hides_older_store", {{"silence_watches", true}}, 1},
                                         watcher_row {"slow_store_not_restored", {{"delay_ms", 50}}, 1}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(configuration_watcher, documentFromAPeerIsWrittenWhenTheStoreIsBehind)
{
    store_fixture fixture;
    configuration_holder holder;
    configuration_watcher watcher(*fixture.store, holder, 2, 100ms);
    fixture.server->inject({{"outage", true}});
    ASSERT_TRUE(holder.apply(envelopeOf(7, "peer"), configuration_source::peer));
    fixture.server->inject({{"outage", false}});
    store_configuration_repository repository(*fixture.store, 1);
    EXPECT_TRUE(eventually([&] {
        const auto stored = repository.current();
        return stored && stored.value().revision == 7;
    }));
}

TEST(configuration_watcher, twoDocumentsOfOneRevisionConverge)
{
    store_fixture fixture;
    store_configuration_repository repository(*fixture.store, 1);
    ASSERT_TRUE(repository.propose(envelopeOf(0, "stored").content, 0, "team"));
    configuration_holder first;
    configuration_holder second;
    ASSERT_TRUE(first.apply(envelopeOf(1, "held"), configuration_source::store));
    configuration_watcher secondWatcher(*fixture.store, second, 3, 100ms);
    ASSERT_TRUE(eventually([&] { return second.current()->revision == 1; }));
    configuration_watcher firstWatcher(*fixture.store, first, 2, 100ms);
    EXPECT_TRUE(eventually([&] { return first.current()->revision == 2 && *first.current() == *second.current(); }));
    EXPECT_EQ(first.current()->content, envelopeOf(1, "held").content);
    EXPECT_EQ(firstWatcher.counts().storeDiverged, 1);
}

TEST(configuration_watcher, unreadableDocumentIsNotOverwritten)
{
    store_fixture fixture;
    ASSERT_TRUE(fixture.store->compareAndSwap("/bronzechute/config/current", 0, "{\"schema\": 2}"));
    configuration_holder holder;
    ASSERT_TRUE(holder.apply(envelopeOf(3, "held"), configuration_source::peer));
    configuration_watcher watcher(*fixture.store, holder, 2, 50ms);
    EXPECT_TRUE(eventually([&] { return watcher.counts().unreadable >= 3; }));
    EXPECT_EQ(fixture.valueOf("/bronzechute/config/current"), "{\"schema\": 2}");
}

} // namespace
} // namespace bronzechute
