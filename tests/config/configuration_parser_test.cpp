#include "config/configuration_parser.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

constexpr const char *completeDocument = R"yaml(schema: 1
pools:
  - {name: drafting, kind: model, labels: {tier: fast}, members: "model=iroda,zone in (a,b)",
                     model : iroda - nyelv
}
  - {name: office, kind: service, labels: {app: office}, members: "app=office"}
classes:
  - name: staff
    match: {accounts: [kozpont], models: [iroda-nyelv]}
    pools: tier=fast
    priority: 7
    deadline_ms: 30000
    first_token_ms: 900
    resume_elsewhere: true
  - {name: other, pools: tier}
accounts:
  - {name: kozpont, key_hashes: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa], share: 3}
services:
  - name: orders
    prefix: /office
    pools: app=office
    repeatable: [{method: GET, path: /stock}]
    deadline_ms: 5000
    read_your_writes: true
data_centres:
  - {name: buda, state: out}
endpoints:
  - {name: buda-1, labels: {zone: b}, drained: true}
teams:
  - {name: root, key_hashes: [bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb], operator: true}
  - {name: drafters, pools: [drafting], classes: ["*"]}
)yaml";

configuration parseComplete()
{
    auto parsed = parseConfiguration(completeDocument);
    for (const configuration_problem &problem : parsed.problems) {
        ADD_FAILURE() << problem.toString("document");
    }
    return parsed.content.value_or(configuration());
}

// Guards against keys that are parsed but not serialised, or serialised in a form that is not parsed back.
TEST(configuration_parser, serializedFormsParseBackEqual)
{
    const configuration content = parseComplete();
    EXPECT_EQ(parseConfiguration(toYaml(content)).content, content) << toYaml(content);
    EXPECT_EQ(parseConfiguration(toJson(content).dump()).content, content);
    EXPECT_EQ(parseConfigurationJson(toJson(content)).content, content);
    const configuration_envelope envelope {7, "00112233445566778899aabbccddeeff", "root", "2026-12-04T02:00:00Z",
                                           content};
    EXPECT_EQ(parseEnvelope(serializeEnvelope(envelope)).value(), envelope);
    const configuration_envelope none;
    EXPECT_EQ(parseEnvelope(serializeEnvelope(none)).value(), none);
}

// Guards against matching a class other than the first in the document, and a service prefix within a path segment.
TEST(configuration_parser, findsClassesServicesAccountsAndLabels)
{
    const configuration content = parseComplete();
    EXPECT_EQ(content.findClass("kozpont", "iroda-nyelv")->name, "staff");
    EXPECT_EQ(content.findClass("kozpont", "x")->name, "other");
    EXPECT_EQ(content.findService("/office/stock")->name, "orders");
    EXPECT_EQ(content.findService("/officer"), nullptr);
    EXPECT_EQ(content.findAccount(std::string(64, 'a'))->share, 3);
    EXPECT_EQ(content.findAccount(""), nullptr);
    EXPECT_FALSE(content.inService("buda"));
    EXPECT_TRUE(content.inService("pest"));
    EXPECT_EQ(content.effectiveLabels("buda-1", {{"zone", "a"}, {"gpu", "x"}}),
              (label_set {{"zone", "b"}, {"gpu", "x"}}));
}

struct problem_row
{
    const char *name; ///< The failure that the row guards against.
    std::string document;
    std::vector<std::string> problems; ///< All reported problems, in order of lines.
};

class configuration_problems : public testing::TestWithParam<problem_row>
{
};

TEST_P(configuration_problems, reportsEach)
{
    const auto parsed = parseConfiguration(GetParam().document);
    std::vector<std::string> found;
    for (const configuration_problem &problem : parsed.problems) {
        found.push_back(problem.toString("f"));
    }
    EXPECT_EQ(found, GetParam().problems);
    EXPECT_FALSE(parsed.content.has_value());
}

std::string document(const std::string &rest)
{
    return "schema: 1\npools:\n  - {name: p, kind: model, labels: {tier: fast}, model: m}\n" + rest;
}

INSTANTIATE_TEST_SUITE_P(
    rows, configuration_problems,
    testing::Values(
        problem_row {"empty_document_accepted", "", {"f: found 0 YAML documents, expected one YAML document"}},
        problem_row {"second_document_ignored",
                     "schema: 1\n---\nschema: 1\n",
                     {"f: found 2 YAML documents, expected one YAML document"}},
        problem_row {"malformed_yaml_without_line",
                     "schema: 1\npools: [a\n",
                     {"f:3: found malformed YAML (end of sequence flow not found), expected valid YAML"}},
        problem_row {"invalid_utf8_reaches_json",
                     "schema: 1 # \xff",
                     {"f: found bytes that are not UTF-8, expected a YAML document in UTF-8"}},
        problem_row {"schema_missing", "pools: []\n", {"f:1: schema: found nothing, expected 1"}},
        problem_row {"other_schema_accepted", "schema: 2\n", {"f:1: schema: found \"2\", expected 1"}},
        problem_row {"only_first_problem_reported",
                     "schema: 1\nfoo: 1\naccounts:\n  - {name: a, share: 0}\n",
                     {"f:2: foo: found an unknown key, expected accounts, classes, data_centres, endpoints, pools, "
                      "schema, services or teams",
                      "f:4: accounts[0].share: found \"0\", expected an integer from 1 to 1000000"}},
        problem_row {"duplicate_key_overwrites_or_hides_the_rest",
                     "schema: 1\nschema: 1\naccounts: [{name: a, share: 0}]\n",
                     {"f:2: schema: found the key a second time, expected each key once",
                      "f:3: accounts[0].share: found \"0\", expected an integer from 1 to 1000000"}},
        problem_row {
            "duplicate_name_accepted",
            "schema: 1\naccounts:\n  - {name: a}\n  - {name: a}\n",
            {"f:4: accounts[1].name: found \"a\" a second time, expected a name of its own for each of accounts"}},
        problem_row {"selector_without_pool_accepted",
                     document("classes:\n  - {name: c, pools: tier=slow}\n"),
                     {"f:5: classes[0].pools: found \"tier=slow\", which matches no pool of kind model, expected a "
                      "selector that matches the labels of at least one"}},
        problem_row {"malformed_selector_reported_twice",
                     document("classes:\n  - {name: c, pools: \"=\"}\n"),
                     {"f:5: classes[0].pools: found term \"=\": the key has to be 1 to 128 letters, digits, '.', '_', "
                      "'-', '/' or ':', expected a selector such as \"key=value,key in (a,b),!key\""}},
        problem_row {"service_sent_to_model_pool",
                     document("services:\n  - {name: s, prefix: /s, pools: tier=fast}\n"),
                     {"f:5: services[0].pools: found \"tier=fast\", which matches no pool of kind service, expected a "
                      "selector that matches the labels of at least one"}},
        problem_row {"unknown_account_in_match",
                     document("classes:\n  - {name: c, match: {accounts: [x]}}\n"),
                     {"f:5: classes[0].match.accounts[0]: found \"x\", expected a name from accounts"}},
        problem_row {"empty_list_of_accounts_matches_all",
                     document("classes:\n  - {name: c, match: {accounts: []}}\n"),
                     {"f:5: classes[0].match.accounts: found an empty list, expected at least one name"}},
        problem_row {"empty_list_of_models_matches_all",
                     document("classes:\n  - {name: c, match: {models: []}}\n"),
                     {"f:5: classes[0].match.models: found an empty list, expected at least one name"}},
        problem_row {"quoted_number_accepted",
                     document("classes:\n  - {name: c, priority: \"7\"}\n"),
                     {"f:5: classes[0].priority: found \"7\", expected an integer from 0 to 9"}},
        problem_row {"word_taken_for_boolean",
                     document("classes:\n  - {name: c, resume_elsewhere: yes}\n"),
                     {"f:5: classes[0].resume_elsewhere: found \"yes\", expected true or false"}},
        problem_row {"negative_limit_taken_for_none",
                     document("classes:\n  - {name: c, first_token_ms: -1}\n"),
                     {"f:5: classes[0].first_token_ms: found \"-1\", expected an integer from 0 to 86400000"}},
        problem_row {"list_taken_for_mapping",
                     document("classes:\n  - {name: c, match: [a]}\n"),
                     {"f:5: classes[0].match: found a list, expected a mapping"}},
        problem_row {"model_missing",
                     "schema: 1\npools:\n  - {name: p, kind: model}\n",
                     {"f:3: pools[0].model: found nothing, expected the name of a model, because the kind is model"}},
        problem_row {
            "short_hash_accepted_or_its_line_lost",
            "schema: 1\naccounts:\n  - name: a\n    key_hashes:\n      - abc\n",
            {"f:5: accounts[0].key_hashes[0]: found \"abc\", expected 64 lower-case hexadecimal digits (SHA-256 "
             "of the key)"}},
        problem_row {
            "prefix_with_final_slash_accepted",
            "schema: 1\npools:\n  - {name: p, kind: service}\nservices:\n  - {name: s, prefix: /s/}\n",
            {"f:5: services[0].prefix: found \"/s/\", expected a path such as \"/orders\" that begins and does "
             "not end with '/'"}},
        problem_row {"state_misspelt",
                     "schema: 1\ndata_centres:\n  - {name: a, state: off}\n",
                     {"f:3: data_centres[0].state: found \"off\", expected in_service or out"}},
        problem_row {"teams_lock_everybody_out",
                     "schema: 1\nteams:\n  - {name: t}\n",
                     {"f:2: teams: found no team with operator: true and a key, expected at least one"}},
        problem_row {"name_unfit_for_a_path",
                     "schema: 1\nendpoints:\n  - {name: a/b}\n",
                     {"f:3: endpoints[0].name: found \"a/b\", expected 1 to 128 letters, digits, '.', '_' or '-'"}}),
    [](const auto &row) { return std::string(row.param.name); });

struct envelope_row
{
    const char *name; ///< The failure that the row guards against.
    const char *text;
    const char *detail;
};

class envelope_error : public testing::TestWithParam<envelope_row>
{
};

TEST_P(envelope_error, isReported)
{
    const auto parsed = parseEnvelope(GetParam().text);
    ASSERT_FALSE(parsed);
    EXPECT_EQ(parsed.error().code, errc::protocol_violation);
    EXPECT_EQ(parsed.error().detail, GetParam().detail);
}

INSTANTIATE_TEST_SUITE_P(
    rows, envelope_error,
    testing::Values(envelope_row {"truncated_json_throws", "{\"revision\": 1", "not a JSON object"},
                    envelope_row {
                        "missing_mark_accepted", R"({"revision": 1, "author": "a", "at": "", "content": {}})",
                        "needs an integer \"revision\", texts \"mark\", \"author\" and \"at\", and \"content\""},
                    envelope_row {"invalid_content_accepted",
                                  R"({"revision": 1, "mark": "", "author": "a", "at": "", "content": {"schema": 3}})",
                                  "content: schema: found \"3\", expected 1"}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
