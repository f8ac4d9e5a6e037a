#include "store/deferred_deletions.h"

#include <gtest/gtest.h>

#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

/** What a watch sees of the store at one moment. */
enum class observation {
    outage,
    answer,
    deletion, ///< An answer with the deletion of the only key.
    written, ///< An answer with the key.
};

struct step
{
    std::chrono::milliseconds at;
    observation seen;
};

struct deferral_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<step> steps;
    std::chrono::milliseconds reportedAt; ///< Time of the answer that reports the deletion; -1 ms: none.
};

class deferral : public testing::TestWithParam<deferral_row>
{
};

store_event deletionOfKey()
{
    store_event event;
    event.deleted = true;
    event.entry.key = "key";
    return event;
}

TEST_P(deferral, reportsTheDeletionOnceItIsConfirmed)
{
    const time_point start {1h};
    deferred_deletions deletions;
    std::chrono::milliseconds reportedAt {-1};
    for (const step &each : GetParam().steps) {
        if (each.seen == observation::outage) {
            deletions.onOutage();
            continue;
        }
        deletions.onAnswer(start + each.at);
        std::vector<store_event> due = deletions.takeConfirmed();
        if (each.seen == observation::written) {
            deletions.onWritten("key");
            due.clear();
        } else if (each.seen == observation::deletion && deletions.recovering()) {
            deletions.defer(deletionOfKey());
        } else if (each.seen == observation::deletion) {
            due.push_back(deletionOfKey());
        }
        if (!due.empty()) {
            EXPECT_EQ(reportedAt, -1ms) << "reported twice";
            reportedAt = each.at;
        }
    }
    EXPECT_EQ(reportedAt, GetParam().reportedAt);
}

INSTANTIATE_TEST_SUITE_P(
    rows, deferral,
    testing::Values(deferral_row {"deletion_in_calm_times_is_late", {{100ms, observation::deletion}}, 100ms},
                    deferral_row {"deletion_after_an_outage_is_believed_at_once",
                                  {{0ms, observation::outage},
                                   {100ms, observation::deletion},
                                   {1900ms, observation::answer},
                                   {2100ms, observation::answer}},
                                  2100ms},
                    deferral_row {"second_outage_cuts_the_recovery_short",
                                  {{0ms, observation::outage},
                                   {100ms, observation::deletion},
                                   {350ms, observation::outage},
                                   {3000ms, observation::answer},
                                   {4900ms, observation::answer},
                                   {5000ms, observation::answer}},
                                  5000ms},
                    deferral_row {"silent_store_confirms_a_deletion",
                                  {{0ms, observation::outage},
                                   {100ms, observation::deletion},
                                   {9000ms, observation::outage},
                                   {9100ms, observation::answer}},
                                  -1ms},
                    deferral_row {"key_that_was_written_again_is_deleted",
                                  {{0ms, observation::outage},
                                   {100ms, observation::deletion},
                                   {900ms, observation::written},
                                   {2200ms, observation::answer}},
                                  -1ms},
                    deferral_row {
                        "deletion_after_the_recovery_is_deferred",
                        {{0ms, observation::outage}, {100ms, observation::answer}, {2200ms, observation::deletion}},
                        2200ms}),
    [](const auto &row) { return std::string(row.param.name); });

TEST(deferred_deletions, nameTheTimeOfTheirConfirmation)
{
    const time_point start {1h};
    deferred_deletions deletions;
    deletions.onOutage();
    deletions.onAnswer(start);
    EXPECT_EQ(deletions.dueAt(), std::nullopt);
    deletions.defer(deletionOfKey());
    EXPECT_EQ(deletions.dueAt(), start + 2s);
    deletions.onOutage();
    EXPECT_EQ(deletions.dueAt(), std::nullopt) << "no answer can confirm a deletion during an outage";
}

} // namespace

} // namespace bronzechute
