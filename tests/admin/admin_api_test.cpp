#include "standins/admin_fixture.h"

#include "config/configuration_parser.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

using json = nlohmann::json;

struct refusal_row
{
    const char *name; ///< The failure that the row guards against.
    const char *method;
    const char *target;
    std::string body;
    const char *key;
    int status;
    const char *code;
    const char *message;
    json field;
};

class admin_refusal : public testing::TestWithParam<refusal_row>
{
};

TEST_P(admin_refusal, changesNothing)
{
    admin_fixture fixture;
    fixture.repository().accept(documentWithTeams(), "root");
    const refusal_row &row = GetParam();
    const http_reply reply = fixture.send(row.method, row.target, row.body, row.key);
    EXPECT_EQ(reply.status, row.status) << reply.body;
    const json body = json::parse(reply.body);
    EXPECT_EQ(body["error"]["code"], row.code);
    EXPECT_EQ(body["error"]["message"], row.message);
    EXPECT_EQ(body["error"]["field"], row.field);
    EXPECT_EQ(fixture.repository().current().value().revision, 1);
}

const char *put = "/admin/v1/configuration?base_revision=1";

INSTANTIATE_TEST_SUITE_P(
    access, admin_refusal,
    testing::Values(
        refusal_row {"missing_key_allowed", "GET", "/admin/v1/status", "", "", 401, "unauthenticated",
                     "the header Authorization: Bearer KEY is missing", "Authorization"},
        refusal_row {"unknown_key_allowed", "GET", "/admin/v1/status", "", "guess", 401, "unauthenticated",
                     "no team has this key", "Authorization"},
        refusal_row {"foreign_pool_changed", "PUT", put, replaced(documentWithTeams(), "name: \"q\"", "name: \"q2\""),
                     "teamkey", 403, "permission_denied", "team drafters may not change pools[q]", "pools[q]"},
        refusal_row {"foreign_class_changed", "PUT", put, replaced(documentWithTeams(), "priority: 4", "priority: 9"),
                     "teamkey", 403, "permission_denied", "team drafters may not change classes[d].priority",
                     "classes[d].priority"},
        refusal_row {"own_rights_widened", "PUT", put,
                     replaced(documentWithTeams(), "operator: false", "operator: true"), "teamkey", 403,
                     "permission_denied", "team drafters may not change teams[drafters].operator",
                     "teams[drafters].operator"},
        refusal_row {"data_centre_changed_by_team", "POST", "/admin/v1/data_centres/buda", R"({"state": "out"})",
                     "teamkey", 403, "permission_denied", "team drafters may not change data_centres[buda]",
                     "data_centres[buda]"},
        refusal_row {"endpoint_labelled_by_team", "POST", "/admin/v1/endpoints/e1", R"({"labels": {"a": "b"}})",
                     "teamkey", 403, "permission_denied", "team drafters may not change endpoints[e1]",
                     "endpoints[e1]"},
        refusal_row {
            "access_opened_by_removing_teams", "PUT", put, "schema: 1\n", "rootkey", 422, "invalid_configuration",
            "found no team, expected at least one, because without teams everybody may change everything", "teams"}),
    [](const auto &row) { return std::string(row.param.name); });

INSTANTIATE_TEST_SUITE_P(
    input, admin_refusal,
    testing::Values(
        refusal_row {"unknown_resource_accepted", "GET", "/admin/v1/nothing", "", "rootkey", 404, "not_found",
                     "no resource /admin/v1/nothing", nullptr},
        refusal_row {"unknown_method_accepted", "DELETE", "/admin/v1/configuration", "", "rootkey", 405,
                     "method_not_allowed", "DELETE is not one of GET, PUT", nullptr},
        refusal_row {"change_without_base", "PUT", "/admin/v1/configuration", "schema: 1\n", "rootkey", 400,
                     "invalid_argument", "the revision that the change was made from is missing", "base_revision"},
        refusal_row {"malformed_base", "PUT", "/admin/v1/configuration?base_revision=x", "schema: 1\n", "rootkey", 400,
                     "invalid_argument", "base_revision: found \"x\", expected an integer from 0", "base_revision"},
        refusal_row {"misspelt_dry_run_changes", "PUT", "/admin/v1/configuration?base_revision=1&dry_run=yes",
                     toYaml(documentWithTeams()), "rootkey", 400, "invalid_argument",
                     "dry_run: found \"yes\", expected true or false", "dry_run"},
        refusal_row {"invalid_document_accepted", "PUT", put, "schema: 1\nfoo: 1\n", "rootkey", 422,
                     "invalid_configuration",
                     "document:2: foo: found an unknown key, expected accounts, classes, data_centres, endpoints, "
                     "pools, schema, services or teams",
                     "foo"},
        refusal_row {"outdated_base_overwrites", "PUT", "/admin/v1/configuration?base_revision=0",
                     replaced(documentWithTeams(), "priority: 3", "priority: 9"), "rootkey", 409, "conflict",
                     "revision 1 by root is in force, not the base revision 0", "base_revision"},
        refusal_row {"misspelt_data_centre_accepted", "POST", "/admin/v1/data_centres/bdua", R"({"state": "out"})",
                     "rootkey", 404, "not_found",
                     "no data centre bdua in the configuration or among the live endpoints", "name"},
        refusal_row {"state_misspelt", "POST", "/admin/v1/data_centres/buda", R"({"state": "off"})", "rootkey", 400,
                     "invalid_argument", "expected \"out\" or \"in_service\"", "state"},
        refusal_row {"unknown_endpoint_labelled", "POST", "/admin/v1/endpoints/e9", R"({"drained": true})", "rootkey",
                     404, "not_found", "no endpoint e9 in the configuration or among the live endpoints", "name"},
        refusal_row {"label_of_wrong_type", "POST", "/admin/v1/endpoints/e1", R"({"labels": {"a": 1}})", "rootkey", 400,
                     "invalid_argument", "expected a text, or null to remove the label", "labels.a"},
        refusal_row {"label_unfit_for_selectors", "POST", "/admin/v1/endpoints/e1", R"({"labels": {"a": "b,c"}})",
                     "rootkey", 422, "invalid_configuration",
                     "document: endpoints[0].labels.a: found \"b,c\", expected 1 to 128 letters, digits, '.', '_', "
                     "'-', '/' or ':'",
                     "endpoints[0].labels.a"},
        refusal_row {"drained_of_wrong_type", "POST", "/admin/v1/endpoints/e1", R"({"drained": "no"})", "rootkey", 400,
                     "invalid_argument", "expected true or false", "drained"},
        refusal_row {"unknown_key_ignored", "POST", "/admin/v1/endpoints/e1", R"({"drain": true})", "rootkey", 400,
                     "invalid_argument", "unknown key", "drain"},
        refusal_row {"body_not_json", "POST", "/admin/v1/rollback", "revision", "rootkey", 400, "invalid_argument",
                     "the body is not a JSON object", "body"},
        refusal_row {"rollback_to_unknown_revision", "POST", "/admin/v1/rollback", R"({"revision": 7})", "rootkey", 404,
                     "not_found", "fake.at: not found: revision 7", nullptr}),
    [](const auto &row) { return std::string(row.param.name); });

struct change_row
{
    const char *name; ///< The failure that the row guards against.
    const char *method;
    const char *target;
    std::string body;
    const char *key;
    std::int64_t revision; ///< Current revision afterwards.
    std::vector<std::string> paths; ///< Paths of the diff in the reply.
};

class admin_change : public testing::TestWithParam<change_row>
{
};

TEST_P(admin_change, isAccepted)
{
    admin_fixture fixture;
    fixture.repository().accept(documentWithTeams(), "root");
    const change_row &row = GetParam();
    const http_reply reply = fixture.send(row.method, row.target, row.body, row.key);
    ASSERT_EQ(reply.status, 200) << reply.body;
    std::vector<std::string> paths;
    const json diff = json::parse(reply.body)["diff"];
    for (const json &change : diff) {
        paths.push_back(change["path"]);
    }
    EXPECT_EQ(paths, row.paths);
    const auto current = fixture.repository().current().value();
    EXPECT_EQ(current.revision, row.revision);
    EXPECT_EQ(current.author, row.key == std::string("teamkey") ? "drafters" : "root");
}

INSTANTIATE_TEST_SUITE_P(
    rows, admin_change,
    testing::Values(
        change_row {"own_class_refused",
                    "PUT",
                    put,
                    replaced(documentWithTeams(), "priority: 3", "priority: 9"),
                    "teamkey",
                    2,
                    {"classes[c].priority"}},
        change_row {"dry_run_changes",
                    "PUT",
                    "/admin/v1/configuration?base_revision=1&dry_run=true",
                    replaced(documentWithTeams(), "priority: 3", "priority: 9"),
                    "rootkey",
                    1,
                    {"classes[c].priority"}},
        change_row {"equal_document_makes_a_revision", "PUT", put, toYaml(documentWithTeams()), "rootkey", 1, {}},
        change_row {"repeated_change_told_as_conflict",
                    "PUT",
                    "/admin/v1/configuration?base_revision=0",
                    toYaml(documentWithTeams()),
                    "rootkey",
                    1,
                    {}},
        change_row {"data_centre_stays",
                    "POST",
                    "/admin/v1/data_centres/obuda",
                    R"({"state": "out"})",
                    "rootkey",
                    2,
                    {"data_centres[obuda].state"}},
        change_row {"live_data_centre_unknown",
                    "POST",
                    "/admin/v1/data_centres/buda",
                    R"({"state": "out"})",
                    "rootkey",
                    2,
                    {"data_centres[buda]"}},
        change_row {"live_endpoint_unknown",
                    "POST",
                    "/admin/v1/endpoints/e1",
                    R"({"labels": {"a": "b"}})",
                    "rootkey",
                    2,
                    {"endpoints[e1]"}},
        change_row {
            "empty_override_kept", "POST", "/admin/v1/endpoints/e1", R"({"labels": {"a": null}})", "rootkey", 1, {}}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
