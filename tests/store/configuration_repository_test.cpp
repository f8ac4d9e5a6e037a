#include "standins/eventually.h"
#include "store/store_configuration_repository.h"
#include "store_fixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace bronzechute {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

configuration contentOf(const std::string &dataCentre)
{
    configuration content;
    content.dataCentres = {{dataCentre, false}};
    return content;
}

struct propose_row
{
    const char *name; ///< The failure that the row guards against.
    json faults;
    std::optional<errc> code; ///< Absent when the proposal is accepted.
    std::int64_t revision; ///< Current revision at the end.
};

class configuration_repository_proposals : public testing::TestWithParam<propose_row>
{
};

TEST_P(configuration_repository_proposals, areAcceptedExactlyOnce)
{
    store_fixture fixture(300ms);
    store_configuration_repository repository(*fixture.store, 1, 1500ms);
    ASSERT_TRUE(repository.propose(contentOf("one"), 0, "team"));
    fixture.server->inject(GetParam().faults);
    const auto accepted = repository.propose(contentOf("two"), 1, "team");
    fixture.server->inject({{"outage", false}, {"delay_ms", 0}, {"delay_answer_ms", 0}});
    if (GetParam().code) {
        ASSERT_FALSE(accepted);
        EXPECT_EQ(accepted.error().code, *GetParam().code) << accepted.error().toString();
    } else {
        ASSERT_TRUE(accepted) << accepted.error().toString();
        EXPECT_EQ(accepted.value().content, contentOf("two"));
        EXPECT_EQ(repository.at(2).value(), accepted.value());
        EXPECT_EQ(repository.current().value(), accepted.value());
    }
    EXPECT_EQ(repository.current().value().revision, GetParam().revision);
    const auto history = repository.history(10);
    ASSERT_TRUE(history);
    EXPECT_EQ(history.value().size(), static_cast<std::size_t>(GetParam().revision));
}

INSTANTIATE_TEST_SUITE_P(
    rows, configuration_repository_proposals,
    testing::Values(propose_row {"plain_change_refused", json::object(), std::nullopt, 2},
                    propose_row {"own_change_seen_as_conflict", {{"lose_answers", 1}}, std::nullopt, 2},
                    propose_row {"outage_seen_as_accepted", {{"outage", true}}, errc::unavailable, 1},
                    propose_row {"slow_answer_seen_as_conflict", {{"delay_answer_ms", 150}}, std::nullopt, 2}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against a second revision when the response to the first transaction comes after the call timeout and reads in
// the meantime still return the base version.
TEST(configuration_repository, delayedTransactionIsAppliedOnce)
{
    store_fixture fixture(300ms);
    store_configuration_repository repository(*fixture.store, 1, 10s);
    ASSERT_TRUE(repository.propose(contentOf("one"), 0, "team"));
    fixture.server->inject({{"delay_ms", 250}});
    std::thread delayer([&] {
        // After the two reads of the base version, 250 ms each, the transaction exceeds the call timeout.
        standins::eventually([&] { return fixture.server->stats()["calls"]["range"] >= 4; });
        fixture.server->inject({{"delay_ms", 700}});
        standins::eventually([&] { return fixture.server->stats()["calls"]["txn"] >= 2; });
        std::this_thread::sleep_for(50ms);
        fixture.server->inject({{"delay_ms", 0}});
    });
    const auto accepted = repository.propose(contentOf("two"), 1, "team");
    delayer.join();
    ASSERT_TRUE(accepted) << accepted.error().toString();
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(repository.current().value(), accepted.value());
    EXPECT_EQ(repository.current().value().revision, 2);
}

TEST(configuration_repository, acceptsOneOfConcurrentChanges)
{
    store_fixture fixture;
    store_configuration_repository repository(*fixture.store, 1);
    ASSERT_TRUE(repository.propose(contentOf("one"), 0, "team"));
    std::atomic<int> accepted {0};
    std::atomic<int> conflicts {0};
    std::vector<std::thread> operators;
    operators.reserve(8);
    for (int index = 0; index < 8; ++index) {
        operators.emplace_back([&, index] {
            const auto answer = repository.propose(contentOf(std::to_string(index)), 1, "team");
            ++(answer ? accepted : conflicts);
            if (!answer) {
                EXPECT_EQ(answer.error().code, errc::conflict);
                EXPECT_NE(answer.error().detail.find("revision 2 by team"), std::string::npos);
            }
        });
    }
    for (std::thread &thread : operators) {
        thread.join();
    }
    EXPECT_EQ(accepted, 1);
    EXPECT_EQ(conflicts, 7);
}

TEST(configuration_repository, contentThatProcessesCannotParseIsRefused)
{
    store_fixture fixture;
    store_configuration_repository repository(*fixture.store, 1);
    EXPECT_EQ(repository.propose(contentOf("not a name"), 0, "team").error().code, errc::invalid_argument);
    EXPECT_EQ(repository.current().value().revision, 0);
}

TEST(configuration_repository, emptyStoreHasRevisionZero)
{
    store_fixture fixture;
    store_configuration_repository repository(*fixture.store, 1);
    EXPECT_EQ(repository.current().value(), configuration_envelope());
    EXPECT_EQ(repository.at(1).error().code, errc::not_found);
    EXPECT_TRUE(repository.history(5).value().empty());
}

} // namespace
} // namespace bronzechute
