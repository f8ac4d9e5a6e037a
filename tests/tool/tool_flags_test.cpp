#include "tool/tool_flags.h"

#include <gflags/gflags.h>
#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct flag_row
{
    const char *name; ///< Failure that the row guards against.
    std::vector<std::string> arguments;
    const char *detail; ///< Expected error detail; empty when parsing succeeds.
    std::vector<std::string> words;
};

class tool_flags : public testing::TestWithParam<flag_row>
{
};

TEST_P(tool_flags, splitsOrReports)
{
    const gflags::FlagSaver restoreFlags;
    const auto command = parseCommand(GetParam().arguments);
    EXPECT_EQ(command ? "" : command.error().detail, GetParam().detail);
    if (command) {
        EXPECT_EQ(command.value().words, GetParam().words);
    }
}

INSTANTIATE_TEST_SUITE_P(
    rows, tool_flags,
    testing::Values(flag_row {"removal_of_a_label_taken_for_a_flag", {"label", "e", "k-"}, "", {"label", "e", "k-"}},
                    flag_row {"flag_after_the_verb_taken_for_a_word", {"get", "--server", "http://h:1"}, "", {"get"}},
                    flag_row {"boolean_takes_the_next_word", {"--dry_run", "apply", "f"}, "", {"apply", "f"}},
                    flag_row {"negated_boolean_unknown", {"--nodry_run", "apply", "f"}, "", {"apply", "f"}},
                    flag_row {"words_after_double_dash_parsed", {"check", "--", "--f"}, "", {"check", "--f"}},
                    flag_row {"unknown_flag_ignored", {"--sever=x"}, "unknown flag --sever", {}},
                    flag_row {"flag_of_gflags_accepted", {"--flagfile=/dev/null"}, "unknown flag --flagfile", {}},
                    flag_row {"missing_value_accepted", {"--server"}, "flag --server has no value", {}},
                    flag_row {"malformed_number_accepted",
                              {"--limit=x"},
                              "flag --limit: found \"x\", expected a value of type int64",
                              {}},
                    flag_row {"unknown_output_accepted",
                              {"--output=xml"},
                              "flag --output: found \"xml\", expected table or json",
                              {}}),
    [](const auto &row) { return std::string(row.param.name); });

// Guards against flags that are parsed but not stored in the options.
TEST(tool_flags, reachOptions)
{
    const gflags::FlagSaver restoreFlags;
    const auto command = parseCommand({"--server=http://h:1/", "--key_file=k", "--output=json", "--dry_run",
                                       "--settings", "--base_revision=4", "--limit=3", "--timeout=2"});
    ASSERT_TRUE(command);
    const tool_options &options = command.value().options;
    EXPECT_EQ(options.server, "http://h:1");
    EXPECT_EQ(options.keyFile, "k");
    EXPECT_TRUE(options.json && options.dryRun && options.settings);
    EXPECT_EQ(options.baseRevision, 4);
    EXPECT_EQ(options.limit, 3);
    EXPECT_EQ(options.timeout, std::chrono::seconds(2));
}

} // namespace
} // namespace bronzechute
