#include "config/configuration_parser.h"
#include "tool/tool_fixture.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct tool_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<std::string> words;
    std::string input;
    exit_code code;
    std::string out;
    std::string err;
};

class tool_verbs : public tool_test, public testing::WithParamInterface<tool_row>
{
};

TEST_P(tool_verbs, printAndExit)
{
    const tool_result result = run(GetParam().words, GetParam().input);
    EXPECT_EQ(result.code, GetParam().code);
    EXPECT_EQ(result.out, GetParam().out);
    EXPECT_EQ(result.err, GetParam().err);
}

const std::string changed = replaced(documentWithTeams(), "priority: 3", "priority: 9");

INSTANTIATE_TEST_SUITE_P(
    rows, tool_verbs,
    testing::Values(
        tool_row {"change_not_shown",
                  {"apply", "-"},
                  changed,
                  exit_code::done,
                  "classes[c].priority: 3 -> 9\nrevision 2 is in force\n",
                  ""},
        tool_row {"invalid_document_sent",
                  {"apply", "-"},
                  "schema: 2\nfoo: 1\n",
                  exit_code::invalid_input,
                  "",
                  "-:1: schema: found \"2\", expected 1\n-:2: foo: found an unknown key, expected accounts, classes, "
                  "data_centres, endpoints, pools, schema, services or teams\n"},
        tool_row {"missing_file_unreported",
                  {"apply", "/nonexistent"},
                  "",
                  exit_code::invalid_input,
                  "",
                  "bronzechute: /nonexistent: No such file or directory\n"},
        tool_row {"get_loses_its_revision",
                  {"get"},
                  "",
                  exit_code::done,
                  "# revision: 1, author: root, at: 2026-01-01T00:00:00Z\n" + toYaml(documentWithTeams()),
                  ""},
        tool_row {"unknown_revision_succeeds",
                  {"get", "7"},
                  "",
                  exit_code::failed,
                  "",
                  "bronzechute: fake.at: not found: revision 7\n"},
        tool_row {"malformed_revision_sent",
                  {"get", "x"},
                  "",
                  exit_code::invalid_input,
                  "",
                  "bronzechute: found revision \"x\", expected an integer from 0\n"},
        tool_row {
            "diff_changes_something", {"diff", "-"}, changed, exit_code::done, "classes[c].priority: 3 -> 9\n", ""},
        tool_row {"equal_revisions_differ", {"diff", "1", "1"}, "", exit_code::done, "", ""},
        tool_row {"history_unaligned",
                  {"history"},
                  "",
                  exit_code::done,
                  "REVISION  AT                    AUTHOR  CHANGES\n"
                  "1         2026-01-01T00:00:00Z  root    pools[p], pools[q], classes[c], classes[d], "
                  "data_centres[obuda], teams[root], teams[drafters]\n",
                  ""},
        tool_row {"rollback_to_same_content_fails",
                  {"rollback", "1"},
                  "",
                  exit_code::done,
                  "no change; revision 1 stays in force\n",
                  ""},
        tool_row {"label_lost",
                  {"label", "e1", "zone=a", "gpu-"},
                  "",
                  exit_code::done,
                  "endpoints[e1]: added {\"drained\":false,\"labels\":{\"zone\":\"a\"},\"name\":\"e1\"}\n"
                  "revision 2 is in force\n",
                  ""},
        tool_row {"label_without_value_accepted",
                  {"label", "e1", "zone"},
                  "",
                  exit_code::invalid_input,
                  "",
                  "bronzechute: found label \"zone\", expected KEY=VALUE or KEY-, each part 1 to 128 letters, digits, "
                  "'.', '_', '-', '/' or ':'\n"},
        tool_row {"name_reaches_another_path",
                  {"label", "../rollback", "a=b"},
                  "",
                  exit_code::invalid_input,
                  "",
                  "bronzechute: found endpoint name \"../rollback\", expected 1 to 128 letters, digits, '.', '_' or "
                  "'-'\n"},
        tool_row {"data_centre_stays",
                  {"drain", "data_centre", "obuda"},
                  "",
                  exit_code::done,
                  "data_centres[obuda].state: \"in_service\" -> \"out\"\nrevision 2 is in force\n",
                  ""},
        tool_row {"endpoint_stays",
                  {"drain", "endpoint", "e1"},
                  "",
                  exit_code::done,
                  "endpoints[e1]: added {\"drained\":true,\"labels\":{},\"name\":\"e1\"}\nrevision 2 is in force\n",
                  ""},
        tool_row {"undrain_drains",
                  {"undrain", "data_centre", "obuda"},
                  "",
                  exit_code::done,
                  "no change; revision 1 stays in force\n",
                  ""},
        tool_row {"misspelt_name_accepted",
                  {"drain", "data_centre", "bdua"},
                  "",
                  exit_code::failed,
                  "",
                  "bronzechute: name: no data centre bdua in the configuration or among the live endpoints\n"},
        tool_row {"unknown_kind_accepted",
                  {"drain", "vm", "e1"},
                  "",
                  exit_code::invalid_input,
                  "",
                  "bronzechute: found \"vm\", expected data_centre or endpoint\n"},
        tool_row {"status_fails_on_missing_fields",
                  {"status"},
                  "",
                  exit_code::done,
                  "node n1, role -, data centre pest, revision -, configuration age - ms\n"
                  "ENDPOINT  STATE  DATA CENTRE  IN FLIGHT  LIMIT  QUEUED  COLD\n"
                  "e1        -      buda         -          -      -       -\n",
                  ""},
        tool_row {"valid_document_rejected", {"check", "-"}, changed, exit_code::done, "-: valid\n", ""},
        tool_row {"invalid_document_accepted",
                  {"check", "-"},
                  "schema: 3\n",
                  exit_code::invalid_input,
                  "",
                  "-:1: schema: found \"3\", expected 1\n"},
        tool_row {"missing_argument_accepted",
                  {"drain", "endpoint"},
                  "",
                  exit_code::invalid_input,
                  "",
                  "usage: bronzechute [FLAG…] drain data_centre|endpoint NAME\n"},
        tool_row {"unknown_verb_accepted",
                  {"remove"},
                  "",
                  exit_code::invalid_input,
                  "",
                  "bronzechute: unknown verb \"remove\"\n" + usageText()}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against a dry run that changes the configuration or reports that it did.
TEST_F(tool_test, dryRunChangesNothing)
{
    m_options.dryRun = true;
    EXPECT_EQ(run({"apply", "-"}, changed).out, "classes[c].priority: 3 -> 9\ndry run; revision 1 stays in force\n");
    EXPECT_EQ(m_fixture.repository().current().value().revision, 1);
}

// Guards against a lost response being reported as a failure, after which an operator would repeat the change.
TEST_F(tool_test, lostAnswerIsUnknown)
{
    m_handler.broken = true;
    const tool_result result = run({"drain", "data_centre", "obuda"});
    EXPECT_EQ(result.code, exit_code::unknown);
    EXPECT_EQ(result.err,
              "bronzechute: " + m_options.server
                  + ": no answer to the change; read the configuration before trying again\n");
}

// Guards against a document based on an old revision overwriting a later change, and against a conflict report that
// does not show the later change.
TEST_F(tool_test, conflictShowsOtherChange)
{
    configuration other = documentWithTeams();
    other.classes[1].priority = 8;
    m_fixture.repository().accept(other, "someone");
    const std::string edited = "# revision: 1, author: root\n" + changed;
    const tool_result result = run({"apply", "-"}, edited);
    EXPECT_EQ(result.code, exit_code::conflict);
    EXPECT_EQ(result.err,
              "bronzechute: base_revision: revision 2 by someone is in force, not the base revision 1\n"
              "classes[d].priority: 4 -> 8\n");
    EXPECT_EQ(m_fixture.repository().current().value().content, other);
    m_options.baseRevision = 2;
    EXPECT_EQ(run({"apply", "-"}, edited).code, exit_code::done);
}

// Guards against an unreachable server being reported as an unknown outcome, and against a missing key file being
// ignored.
TEST_F(tool_test, unreachableServerAndMissingKeyFile)
{
    const std::string server = m_options.server;
    m_server.reset();
    const tool_result result = run({"drain", "data_centre", "obuda"});
    EXPECT_EQ(result.code, exit_code::unreachable);
    EXPECT_EQ(result.err, "bronzechute: " + server + ": no answer\n");
    m_options.keyFile = "/nonexistent";
    EXPECT_EQ(run({"status"}).code, exit_code::invalid_input);
}

// Guards against output that is not valid JSON, and against error responses without the error code.
TEST_F(tool_test, jsonOutput)
{
    m_options.json = true;
    EXPECT_EQ(nlohmann::json::parse(run({"drain", "data_centre", "obuda"}).out)["revision"], 2);
    EXPECT_EQ(nlohmann::json::parse(run({"check", "-"}, "schema: 3\n").out)["valid"], false);
    m_options.keyFile.clear();
    const tool_result refused = run({"get"});
    EXPECT_EQ(refused.code, exit_code::failed);
    EXPECT_EQ(nlohmann::json::parse(refused.out)["error"]["code"], "unauthenticated");
}

} // namespace
} // namespace bronzechute
