#include "gateway/memory_budget.h"
#include "gateway/memory_holder.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzechute {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t budgetBytes = 1000000; // A quarter of it is kept for small shares.

/** A holder that gives back everything when it is asked, and says so. */
class recorded_holder : public memory_holder
{
public:
    recorded_holder(memory_budget &budget, std::string holderName, std::vector<std::string> &asked)
        : share(budget, this), m_name(std::move(holderName)), m_asked(asked)
    {
    }

    void giveBackMemory() override
    {
        m_asked.push_back(m_name);
        share.resize(keeps, {});
    }

    memory_share share;
    std::size_t keeps = 0;

private:
    std::string m_name;
    std::vector<std::string> &m_asked;
};

struct held
{
    memory_use use;
    std::size_t bytes;
    std::chrono::milliseconds age;
};

struct budget_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<held> holders; ///< Named by their index.
    held asking;
    bool granted;
    std::vector<std::string> asked; ///< Who gave memory back, in order.
};

class memory_budget_rows : public testing::TestWithParam<budget_row>
{
};

TEST_P(memory_budget_rows, decideWhoGivesBack)
{
    const time_point now = boot_clock::now();
    memory_budget budget(budgetBytes);
    std::vector<std::string> asked;
    std::vector<std::unique_ptr<recorded_holder>> holders;
    for (const held &each : GetParam().holders) {
        holders.push_back(std::make_unique<recorded_holder>(budget, std::to_string(holders.size()), asked));
        holders.back()->share.setUse(each.use, now - each.age);
        holders.back()->share.resize(each.bytes, now);
    }
    ASSERT_TRUE(asked.empty());
    recorded_holder asking(budget, "asking", asked);
    asking.share.setUse(GetParam().asking.use, now - GetParam().asking.age);
    EXPECT_EQ(asking.share.tryResize(GetParam().asking.bytes, now), GetParam().granted);
    EXPECT_EQ(asked, GetParam().asked);
    EXPECT_EQ(asking.share.bytes(), GetParam().granted ? GetParam().asking.bytes : 0);
    EXPECT_EQ(budget.refused(), GetParam().granted ? 0 : 1);
    EXPECT_EQ(budget.givenBack(), GetParam().asked.size());
    EXPECT_LE(budget.used(), budgetBytes);
}

constexpr memory_use idle = memory_use::idle;
constexpr memory_use busy = memory_use::busy;
constexpr memory_use kept = memory_use::kept;

INSTANTIATE_TEST_SUITE_P(
    rows, memory_budget_rows,
    testing::Values(
        budget_row {"somebody_is_closed_though_there_is_room", {{busy, 400000, 9s}}, {busy, 300000, 0s}, true, {}},
        budget_row {"large_request_is_refused_in_calm", {}, {busy, 750000, 0s}, true, {}},
        budget_row {"large_request_takes_the_part_of_small_ones", {}, {busy, 750001, 0s}, false, {}},
        budget_row {"small_request_is_refused_beside_large_ones", {{kept, 800000, 1s}}, {busy, 100000, 0s}, true, {}},
        budget_row {"work_that_may_have_begun_is_ended", {{kept, 950000, 9s}}, {busy, 100000, 0s}, false, {}},
        budget_row {"busy_one_is_closed_before_an_idle_one",
                    {{busy, 600000, 9s}, {idle, 100000, 1s}},
                    {busy, 150000, 0s},
                    true,
                    {"1"}},
        budget_row {
            "slow_one_outlives_a_fast_one", {{busy, 300000, 1s}, {busy, 300000, 3s}}, {busy, 300000, 0s}, true, {"1"}},
        budget_row {"large_one_outlives_a_small_one",
                    {{busy, 100000, 3s}, {busy, 500000, 3s}},
                    {busy, 300000, 0s},
                    true,
                    {"1"}},
        budget_row {"asking_one_displaces_quicker_ones", {{busy, 600000, 1s}}, {busy, 300000, 9s}, false, {}},
        budget_row {"more_give_back_than_needed",
                    {{kept, 950000, 9s}, {idle, 5000, 3s}, {idle, 5000, 2s}, {idle, 5000, 1s}},
                    {busy, 42000, 0s},
                    true,
                    {"1", "2"}}),
    [](const auto &row) { return std::string(row.param.name); });

// A holder that keeps what it has would be asked again without end.
TEST(memory_budget, asksAHolderThatGivesNothingBackOnce)
{
    const time_point now = boot_clock::now();
    memory_budget budget(budgetBytes);
    std::vector<std::string> asked;
    recorded_holder stubborn(budget, "stubborn", asked);
    stubborn.keeps = 900000;
    stubborn.share.setUse(busy, now - 1s);
    stubborn.share.resize(900000, now);
    recorded_holder asking(budget, "asking", asked);
    asking.share.setUse(busy, now);
    EXPECT_FALSE(asking.share.tryResize(200000, now));
    EXPECT_EQ(asked.size(), 1);
}

// Bytes that were read before they were counted would be missing in the account.
TEST(memory_budget, countsWhatIsInUseBeyondTheLimit)
{
    memory_budget budget(budgetBytes);
    memory_share answer(budget, nullptr);
    answer.resize(budgetBytes + 1, boot_clock::now());
    EXPECT_TRUE(budget.isExhausted());
    EXPECT_EQ(budget.used(), budgetBytes + 1);
}

// A share that is not returned would shrink the budget for good.
TEST(memory_budget, getsBackWhatADestroyedShareHeld)
{
    memory_budget budget(budgetBytes);
    {
        memory_share share(budget, nullptr);
        share.resize(budgetBytes, boot_clock::now());
        EXPECT_TRUE(budget.isShort());
    }
    EXPECT_EQ(budget.used(), 0);
    EXPECT_FALSE(budget.isShort());
}

} // namespace

} // namespace bronzechute
