#include "standins/eventually.h"
#include "store/vm_list.h"
#include "store_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>

namespace bronzechute {
namespace {

using nlohmann::json;
using standins::eventually;

std::string valueFor(const std::string &name, const std::string &state = "live")
{
    return json {
        {"name", name}, {"address", "10.0.0.1"}, {"role", "endpoint"}, {"data_centre", "buda"}, {"state", state}}
        .dump();
}

struct vm_row
{
    const char *name; ///< The failure that the row guards against.
    std::string value;
    bool valid;
};

class vm_parse : public testing::TestWithParam<vm_row>
{
};

TEST_P(vm_parse, acceptsOnlyCompleteEntries)
{
    const auto read = vm::parse(GetParam().value);
    ASSERT_EQ(static_cast<bool>(read), GetParam().valid);
    if (read) {
        EXPECT_EQ(read.value(), (vm {"a", "10.0.0.1", vm_role::endpoint, "buda", vm_state::leaving}));
    } else {
        EXPECT_EQ(read.error().code, errc::protocol_violation);
    }
}

INSTANTIATE_TEST_SUITE_P(rows, vm_parse,
                         testing::Values(vm_row {"entry_not_read", valueFor("a", "leaving"), true},
                                         vm_row {"unknown_state_taken_for_live", valueFor("a", "gone"), false},
                                         vm_row {"missing_field_accepted", R"({"name": "a"})", false},
                                         vm_row {"wrong_type_accepted", R"({"name": 1})", false},
                                         vm_row {"no_json_accepted", "live", false}),
                         [](const auto &row) { return std::string(row.param.name); });

struct vm_list_row
{
    const char *name; ///< The failure that the row guards against.
    json fault; ///< Injected after the list has been read.
};

class vm_list_keeps : public testing::TestWithParam<vm_list_row>
{
};

TEST_P(vm_list_keeps, theLastKnownListAndResumes)
{
    store_fixture fixture;
    const auto first = fixture.store->compareAndSwap("/platform/vms/a", 0, valueFor("a"));
    ASSERT_TRUE(first);
    ASSERT_TRUE(fixture.store->compareAndSwap("/platform/vms/b", 0, valueFor("b")));
    std::atomic<std::size_t> shortest {100};
    vm_list list(*fixture.store,
                 [&](const vm_list::snapshot &changed) { shortest = std::min(shortest.load(), changed->size()); });
    ASSERT_TRUE(eventually([&] { return list.current()->size() == 2; }));
    shortest = 100;
    fixture.server->inject(GetParam().fault);
    EXPECT_FALSE(eventually([&] { return list.current()->size() != 2; }, std::chrono::milliseconds(300)));
    fixture.server->inject({{"outage", false}});
    ASSERT_TRUE(fixture.store->compareAndSwap("/platform/vms/c", 0, valueFor("c")));
    ASSERT_TRUE(fixture.store->compareAndSwap("/platform/vms/a", first.value(), valueFor("a", "leaving")));
    EXPECT_TRUE(eventually([&] {
        const auto known = list.current();
        return known->size() == 3 && known->front().state == vm_state::leaving;
    }));
    EXPECT_GE(shortest, 2U) << "VMs vanished in between";
}

INSTANTIATE_TEST_SUITE_P(rows, vm_list_keeps,
                         testing::Values(vm_list_row {"change_lost_without_fault", json::object()},
                                         vm_list_row {"list_lost_in_outage", {{"outage", true}}},
                                         vm_list_row {"list_frozen_by_silent_watch", {{"silence_watches", true}}}),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against one copy of the list per VM at startup, which would take quadratic time.
TEST(vm_list, reportsAListingOnce)
{
    store_fixture fixture;
    for (const char *name : {"a", "b", "c", "d"}) {
        ASSERT_TRUE(fixture.store->compareAndSwap("/platform/vms/" + std::string(name), 0, valueFor(name)));
    }
    std::atomic<int> reports {0};
    vm_list list(*fixture.store, [&](const vm_list::snapshot &) { ++reports; });
    ASSERT_TRUE(eventually([&] { return list.current()->size() == 4; }));
    EXPECT_EQ(reports, 1);
    ASSERT_TRUE(fixture.store->compareAndSwap("/platform/vms/e", 0, valueFor("e")));
    ASSERT_TRUE(eventually([&] { return list.current()->size() == 5; }));
    EXPECT_TRUE(eventually([&] { return reports == 2; }));
}

TEST(vm_list, deletionRemovesAVmAndUnreadableValueDoesNot)
{
    store_fixture fixture;
    const auto first = fixture.store->compareAndSwap("/platform/vms/a", 0, valueFor("a"));
    const auto second = fixture.store->compareAndSwap("/platform/vms/b", 0, valueFor("b"));
    ASSERT_TRUE(first && second);
    vm_list list(*fixture.store);
    ASSERT_TRUE(eventually([&] { return list.current()->size() == 2; }));
    ASSERT_TRUE(fixture.store->compareAndSwap("/platform/vms/a", first.value(), "not an entry"));
    ASSERT_TRUE(fixture.store->compareAndDelete("/platform/vms/b", second.value()));
    EXPECT_TRUE(eventually([&] { return list.current()->size() == 1; }));
    EXPECT_EQ(list.unreadable(), 1);
    EXPECT_EQ(list.current()->front().name, "a");
}

} // namespace
} // namespace bronzechute
