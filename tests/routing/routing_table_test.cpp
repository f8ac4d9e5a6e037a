#include "routing/routing_table.h"

#include <gtest/gtest.h>

#include <string>

namespace bronzechute {

namespace {

route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    route made;
    made.name = name;
    made.host = host;
    made.pathPrefix = prefix;
    made.services = {{"service", 1}};
    return made;
}

routing_table makeTable()
{
    routing_document document;
    document.version = 7;
    document.routes = {makeRoute("short", "one.example", "/a/"), makeRoute("long", "one.example", "/a/b/"),
                       makeRoute("other", "two.example", "/a/")};
    document.accounts = {{"office", {"key-1", "key-2"}, 1}};
    return routing_table(document);
}

struct route_case
{
    std::string name;
    std::string host;
    std::string path;
    std::string expected; ///< Empty: no route.
};

class route_rule : public testing::TestWithParam<route_case>
{
};

TEST_P(route_rule, matches)
{
    const routing_table table = makeTable();
    const route *found = table.findRoute(GetParam().host, GetParam().path);
    EXPECT_EQ(found == nullptr ? "" : found->name, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    rows, route_rule,
    testing::Values(route_case {"shorter_prefix_wins", "one.example", "/a/b/c", "long"},
                    route_case {"prefix_matched_within_a_segment", "one.example", "/a/bc", "short"},
                    route_case {"prefix_without_its_slash", "one.example", "/a", ""},
                    route_case {"route_of_another_host", "two.example", "/a/b/c", "other"},
                    route_case {"port_in_the_host", "one.example:80", "/a/x", "short"},
                    route_case {"case_of_the_host", "ONE.Example", "/a/x", "short"},
                    route_case {"unknown_host", "three.example", "/a/x", ""}, route_case {"no_host", "", "/a/x", ""}),
    [](const auto &row) { return row.param.name; });

TEST(routing_table, findsAccountsByEachKey)
{
    const routing_table table = makeTable();
    ASSERT_NE(table.findAccount("key-2"), nullptr);
    EXPECT_EQ(table.findAccount("key-2")->name, "office");
    EXPECT_EQ(table.findAccount("key-3"), nullptr);
    EXPECT_EQ(table.findAccount(""), nullptr);
}

} // namespace

} // namespace bronzechute
