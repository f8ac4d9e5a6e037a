#include "balance/group_choice.h"

#include <gtest/gtest.h>

#include <string>

namespace bronzechute {

namespace {

constexpr group_room free {50, 100, true, true, true};
constexpr group_room nearLimit {95, 100, true, true, true};
constexpr group_room shareUsedUp {50, 100, true, true, true, false};
constexpr group_room beyond {110, 100, true, true, true};
constexpr group_room full {240, 100, true, true, false};
constexpr group_room unlimited {230, std::nullopt, true, true, true};
constexpr group_room hopeless {50, std::nullopt, false, true, true};
constexpr group_room closed {0, std::nullopt, true, false, false};
constexpr group_room coldWithoutPermits {0, 100, true, true, false};

struct choice_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<group_room> groups;
    std::size_t level;
    std::vector<bool> expected;
};

class group_choice : public testing::TestWithParam<choice_row>
{
};

TEST_P(group_choice, takesRequestsWhereTheyHarmLeast)
{
    EXPECT_EQ(chooseGroups(GetParam().groups, GetParam().level), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    rows, group_choice,
    testing::Values(
        choice_row {"calm_load_is_restricted", {unlimited, unlimited, free}, 2, {true, true, true}},
        choice_row {"room_in_time_is_left_unused", {beyond, free, nearLimit}, 0, {false, true, true}},
        choice_row {"less_urgent_requests_take_the_last_room", {beyond, nearLimit, nearLimit}, 1, {true, false, false}},
        choice_row {"overload_makes_all_groups_late", {beyond, beyond, beyond}, 0, {true, false, false}},
        choice_row {"overload_moves_on_when_slots_are_full", {full, beyond, beyond}, 0, {false, false, false}},
        choice_row {"only_group_becomes_late", {beyond}, 0, {false}},
        choice_row {"second_of_two_groups_becomes_late", {full, beyond}, 0, {false, false}},
        choice_row {
            "one_of_four_groups_takes_all_overload", {full, beyond, beyond, beyond}, 0, {false, true, false, false}},
        choice_row {"slow_group_gets_urgent_requests", {hopeless, free, beyond}, 0, {false, true, false}},
        choice_row {"slow_group_stays_idle_in_overload", {beyond, beyond, hopeless}, 0, {false, false, true}},
        choice_row {"slow_groups_refuse_requests", {hopeless, hopeless}, 2, {true, true}},
        choice_row {"closed_group_counts_as_overflow", {closed, beyond, beyond}, 0, {false, true, false}},
        choice_row {"cold_group_makes_the_others_late", {coldWithoutPermits, beyond}, 0, {false, false}},
        choice_row {"room_is_filled_by_each_gateway", {beyond, shareUsedUp, free}, 0, {false, false, true}},
        choice_row {"used_share_refuses_requests", {beyond, shareUsedUp, nearLimit}, 1, {true, false, false}},
        choice_row {"no_group_at_all", {}, 0, {}}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace

} // namespace bronzechute
