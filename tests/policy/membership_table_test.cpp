#include "policy/membership_table.h"

#include <gtest/gtest.h>

#include <functional>

namespace bronzechute {
namespace {

using std::chrono::milliseconds;

const time_point start {std::chrono::hours(1)};

struct driver
{
    membership_table table;
    time_point now = start;

    void heartbeat(std::uint64_t incarnation = 1, serving_state state = serving_state::serving)
    {
        endpoint_status status;
        status.state = state;
        table.onHeartbeat(now, "a", "10.0.0.1:1", incarnation, status);
    }

    /** Heartbeat of a process with the given warm speed. */
    void heartbeatWithPace(std::uint64_t incarnation, warm_pace pace)
    {
        endpoint_status status;
        status.warmPace = pace;
        table.onHeartbeat(now, "a", "10.0.0.1:1", incarnation, status);
    }

    void list(bool leaving, const char *address = "10.0.0.1:1")
    {
        const std::vector<listed_vm> vms {{"a", address, leaving}, {"b", "10.0.0.2:1", false}};
        table.onVmList(now, vms);
    }

    void listWithout()
    {
        const std::vector<listed_vm> vms {{"b", "10.0.0.2:1", false}};
        table.onVmList(now, vms);
    }
};

struct member_row
{
    const char *name; ///< The failure that the row guards against.
    std::function<void(driver &)> drive;
    bool known; ///< Whether "a" is known.
    bool usable; ///< Whether "a" is usable.
};

class membership : public testing::TestWithParam<member_row>
{
};

TEST_P(membership, knownAndUsable)
{
    driver drive;
    GetParam().drive(drive);
    const member *found = drive.table.find("a");
    EXPECT_EQ(found != nullptr, GetParam().known);
    EXPECT_EQ(found && drive.table.usable(drive.now, *found), GetParam().usable);
}

INSTANTIATE_TEST_SUITE_P(
    rows, membership,
    testing::Values(member_row {"listed_but_never_heard_used", [](driver &d) { d.list(false); }, true, false},
                    member_row {"heard_but_not_listed_unused", [](driver &d) { d.heartbeat(); }, true, true},
                    member_row {"starting_used", [](driver &d) { d.heartbeat(1, serving_state::starting); }, true,
                                false},
                    member_row {"heartbeat_of_leaving_ignored",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.heartbeat(1, serving_state::leaving);
                                },
                                true, false},
                    member_row {"later_serving_of_same_process_undoes_leaving",
                                [](driver &d) {
                                    d.heartbeat(1, serving_state::leaving);
                                    d.heartbeat(1);
                                },
                                true, false},
                    member_row {"list_of_live_undoes_leaving",
                                [](driver &d) {
                                    d.heartbeat(1, serving_state::leaving);
                                    d.list(false);
                                    d.heartbeat(1);
                                },
                                true, false},
                    member_row {"list_of_leaving_ignored",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.list(true);
                                    d.heartbeat();
                                },
                                true, false},
                    member_row {"new_incarnation_stays_out",
                                [](driver &d) {
                                    d.heartbeat(1, serving_state::leaving);
                                    d.heartbeat(2);
                                },
                                true, true},
                    member_row {"old_list_marks_new_incarnation",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.list(true);
                                    d.heartbeat(2);
                                    d.list(true);
                                },
                                true, true},
                    member_row {"second_leave_ignored",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.list(true);
                                    d.heartbeat(2);
                                    d.list(false);
                                    d.list(true);
                                },
                                true, false},
                    member_row {"list_of_leaving_lost_before_first_heartbeat",
                                [](driver &d) {
                                    d.list(true);
                                    d.heartbeat();
                                },
                                true, false},
                    member_row {"mark_from_before_first_heartbeat_never_ends",
                                [](driver &d) {
                                    d.list(true);
                                    d.heartbeat();
                                    d.list(false);
                                },
                                true, true},
                    member_row {"list_ends_mark_of_heartbeat",
                                [](driver &d) {
                                    d.list(true);
                                    d.heartbeat(1, serving_state::leaving);
                                    d.list(false);
                                },
                                true, false},
                    member_row {"missing_from_list_is_death",
                                [](driver &d) {
                                    d.list(false);
                                    d.heartbeat();
                                    d.listWithout();
                                },
                                true, true},
                    member_row {"empty_list_is_death",
                                [](driver &d) {
                                    d.list(false);
                                    d.heartbeat();
                                    d.table.onVmList(d.now, {});
                                    d.now += std::chrono::hours(1);
                                    d.table.forgetOld(d.now);
                                    d.heartbeat();
                                },
                                true, true},
                    member_row {"silent_used",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.now += milliseconds(2000);
                                },
                                true, false},
                    member_row {"short_gap_unused",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.now += milliseconds(1999);
                                },
                                true, true},
                    member_row {"silent_forgotten_too_early",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.now += std::chrono::minutes(9);
                                    d.table.forgetOld(d.now);
                                },
                                true, false},
                    member_row {"silent_never_forgotten",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.now += std::chrono::minutes(10);
                                    d.table.forgetOld(d.now);
                                },
                                false, false},
                    member_row {"partitioned_does_not_return",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.now += std::chrono::minutes(5);
                                    d.heartbeat();
                                },
                                true, true},
                    member_row {"closed_connection_used",
                                [](driver &d) {
                                    d.heartbeat();
                                    d.table.onDisconnected("a", 1);
                                },
                                true, false},
                    member_row {"old_connection_closes_new_process",
                                [](driver &d) {
                                    d.heartbeat(2);
                                    d.table.onDisconnected("a", 1);
                                },
                                true, true}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against losing the warm speed when the process is replaced, or the VM by another one of the same name.
TEST(membership_table, keepsTheWarmPaceOfAnEarlierProcess)
{
    driver drive;
    drive.heartbeatWithPace(1, {0.02, 0});
    drive.heartbeatWithPace(1, {0.03, 0.4});
    drive.table.onDisconnected("a", 1);
    drive.list(false, "10.0.0.9:1");
    drive.heartbeatWithPace(2, {});
    EXPECT_EQ(drive.table.find("a")->warmPace, (warm_pace {0.03, 0.4}));
}

} // namespace
} // namespace bronzechute
