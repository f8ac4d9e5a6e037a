#include "config/configuration_parser.h"

#include <gtest/gtest.h>

namespace bronzechute {
namespace {

struct json_row
{
    const char *name; ///< The failure that the row guards against.
    const char *document;
    std::vector<std::string> problems;
};

class configuration_json : public testing::TestWithParam<json_row>
{
};

TEST_P(configuration_json, reportsEach)
{
    const nlohmann::json document = nlohmann::json::parse(GetParam().document);
    const auto parsed = parseConfigurationJson(document);
    std::vector<std::string> found;
    for (const configuration_problem &problem : parsed.problems) {
        found.push_back(problem.toString("f"));
    }
    EXPECT_EQ(found, GetParam().problems);
    EXPECT_EQ(parsed.content.has_value(), GetParam().problems.empty());
}

INSTANTIATE_TEST_SUITE_P(
    rows, configuration_json,
    testing::Values(json_row {"null_section_rejected", R"({"schema": 1, "pools": null})", {}},
                    json_row {"list_taken_for_document", "[]", {"f: found a list, expected a mapping"}},
                    json_row {"text_taken_for_number", R"({"schema": "1"})", {"f: schema: found \"1\", expected 1"}},
                    json_row {"fraction_taken_for_integer",
                              R"({"schema": 1, "accounts": [{"name": "a", "share": 1.5}]})",
                              {"f: accounts[0].share: found \"1.5\", expected an integer from 1 to 1000000"}},
                    json_row {"text_taken_for_boolean",
                              R"({"schema": 1, "endpoints": [{"name": "a", "drained": "true"}]})",
                              {"f: endpoints[0].drained: found \"true\", expected true or false"}},
                    json_row {"mapping_taken_for_list",
                              R"({"schema": 1, "endpoints": {"a": 1}})",
                              {"f: endpoints: found a mapping, expected a list of mappings"}},
                    json_row {"element_of_wrong_type_ignored",
                              R"({"schema": 1, "endpoints": [7]})",
                              {"f: endpoints[0]: found \"7\", expected a mapping"}},
                    json_row {"empty_key_accepted",
                              R"({"schema": 1, "endpoints": [{"name": "a", "labels": {"": "x"}}]})",
                              {"f: endpoints[0].labels: found a key that is not a text, expected a key"}}),
    [](const auto &row) { return std::string(row.param.name); });

} // namespace
} // namespace bronzechute
