#include "standins/admin_fixture.h"

#include "config/configuration_parser.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

using json = nlohmann::json;

// Guards against a new installation that cannot be configured without teams, and against leaving it open unnoticed.
TEST(admin_bootstrap, allowsEverythingWithWarning)
{
    admin_fixture fixture;
    const http_reply reply =
        fixture.send("PUT", "/admin/v1/configuration?base_revision=0", toYaml(documentWithTeams()));
    EXPECT_EQ(reply.status, 200) << reply.body;
    EXPECT_EQ(findHeader(reply.headers, "X-Bronzechute-Warning"), "no team is configured; every request is allowed");
    EXPECT_EQ(fixture.repository().current().value().author, "bootstrap");
    EXPECT_EQ(fixture.send("GET", "/admin/v1/status").status, 401);
}

// Guards against losing a concurrent change, and against a conflict reply that does not name its author.
TEST(admin_conflict, showsOtherChange)
{
    admin_fixture fixture;
    fixture.repository().accept(documentWithTeams(), "root");
    configuration other = documentWithTeams();
    other.classes[1].priority = 8;
    fixture.repository().beforePropose = [&] {
        fixture.repository().accept(other, "someone");
    };
    const http_reply reply = fixture.send("PUT", "/admin/v1/configuration?base_revision=1",
                                          replaced(documentWithTeams(), "priority: 3", "priority: 9"), "rootkey");
    EXPECT_EQ(reply.status, 409) << reply.body;
    const json current = json::parse(reply.body)["current"];
    EXPECT_EQ(current["revision"], 2);
    EXPECT_EQ(current["author"], "someone");
    EXPECT_EQ(current["diff"], json::parse(R"([{"path": "classes[d].priority", "old": 4, "new": 8}])"));
    EXPECT_EQ(fixture.repository().current().value().content, other);
}

// Guards against an edit of one endpoint that fails or reverts a concurrent edit of another one.
TEST(admin_conflict, editKeepsOtherChange)
{
    admin_fixture fixture;
    fixture.repository().accept(documentWithTeams(), "root");
    configuration other = documentWithTeams();
    other.classes[1].priority = 8;
    fixture.repository().beforePropose = [&] {
        if (fixture.repository().current().value().revision == 1) {
            fixture.repository().accept(other, "someone");
        }
    };
    const http_reply reply =
        fixture.send("POST", "/admin/v1/endpoints/e1", R"({"labels": {"a": "b"}, "drained": true})", "rootkey");
    EXPECT_EQ(reply.status, 200) << reply.body;
    other.endpoints = {{"e1", {{"a", "b"}}, true}};
    EXPECT_EQ(fixture.repository().current().value().content, other);
    EXPECT_EQ(fixture.repository().current().value().revision, 3);
}

// Guards against retrying an edit indefinitely, and against a rollback that overwrites an unseen change.
TEST(admin_conflict, attemptsAreBounded)
{
    admin_fixture fixture;
    fixture.repository().accept(documentWithTeams(), "root");
    int proposals = 0;
    fixture.repository().beforePropose = [&] {
        ++proposals;
        fixture.repository().accept(documentWithTeams(), "someone");
    };
    EXPECT_EQ(fixture.send("POST", "/admin/v1/data_centres/buda", R"({"state": "out"})", "rootkey").status, 409);
    EXPECT_EQ(proposals, 4);
    configuration other = documentWithTeams();
    other.classes[1].priority = 8;
    fixture.repository().accept(other, "someone");
    EXPECT_EQ(fixture.send("POST", "/admin/v1/rollback", R"({"revision": 1})", "rootkey").status, 409);
    EXPECT_EQ(proposals, 5);
}

struct fault_row
{
    const char *name; ///< The failure that the row guards against.
    errc fault;
    int status;
    const char *code;
};

class admin_fault : public testing::TestWithParam<fault_row>
{
};

TEST_P(admin_fault, isReported)
{
    admin_fixture fixture;
    fixture.repository().accept(documentWithTeams(), "root");
    fixture.repository().proposeFault = GetParam().fault;
    const http_reply reply = fixture.send("POST", "/admin/v1/data_centres/buda", R"({"state": "out"})", "rootkey");
    EXPECT_EQ(reply.status, GetParam().status);
    EXPECT_EQ(json::parse(reply.body)["error"]["code"], GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    rows, admin_fault,
    testing::Values(fault_row {"outage_told_as_unknown", errc::unavailable, 503, "store_unavailable"},
                    fault_row {"unknown_outcome_told_as_failure", errc::outcome_unknown, 504, "outcome_unknown"},
                    fault_row {"timeout_told_as_not_done", errc::timed_out, 504, "outcome_unknown"}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against a status request that fails or skips authentication while the store is unavailable.
TEST(admin_fault, statusIsServedWithoutStore)
{
    admin_fixture fixture;
    fixture.repository().accept(documentWithTeams(), "root");
    EXPECT_EQ(fixture.send("GET", "/admin/v1/status", "", "rootkey").status, 200);
    fixture.repository().readFault = errc::unavailable;
    EXPECT_EQ(fixture.send("GET", "/admin/v1/status", "", "rootkey").status, 200);
    EXPECT_EQ(fixture.send("GET", "/admin/v1/status").status, 401);
    EXPECT_EQ(fixture.send("GET", "/admin/v1/configuration", "", "rootkey").status, 503);
}

// Guards against a history without diffs, and against a rollback that removes the revisions in between.
TEST(admin_history, rollbackIsANewRevision)
{
    admin_fixture fixture;
    fixture.repository().accept(documentWithTeams(), "root");
    configuration other = documentWithTeams();
    other.classes[1].priority = 8;
    fixture.repository().accept(other, "drafters");
    EXPECT_EQ(fixture.send("POST", "/admin/v1/rollback", R"({"revision": 1})", "rootkey").status, 200);
    const json history = json::parse(fixture.send("GET", "/admin/v1/history?limit=2", "", "rootkey").body)["history"];
    ASSERT_EQ(history.size(), 2U);
    EXPECT_EQ(history[0]["revision"], 3);
    EXPECT_EQ(history[0]["diff"], json::parse(R"([{"path": "classes[d].priority", "old": 8, "new": 4}])"));
    EXPECT_EQ(history[1]["author"], "drafters");
    const json old = json::parse(fixture.send("GET", "/admin/v1/configuration/2", "", "rootkey").body);
    EXPECT_EQ(old["content"], toJson(other));
}

// Guards against accepting a pool without live endpoints and without a warning.
TEST(admin_check, warnsOfEmptyPools)
{
    admin_fixture fixture;
    configuration content = documentWithTeams();
    const json clean = json::parse(fixture.send("POST", "/admin/v1/check", toYaml(content)).body);
    EXPECT_EQ(clean["problems"], json::array());
    const json body = json::parse(
        fixture.send("POST", "/admin/v1/check", replaced(content, "members: \"model=m\"", "members: \"model=x\""))
            .body);
    EXPECT_TRUE(body["valid"]);
    EXPECT_EQ(body["problems"][0]["path"], "pools[0].members");
    EXPECT_EQ(body["problems"][0]["found"], "\"model=x\", which matches no live endpoint");
}

} // namespace
} // namespace bronzechute
